// Identifiers and small value types shared by several modules.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace Galenawell {

// The configured name of one instance of the installation.
using InstanceName = std::string;

// Identifies one run of a process; a later run has a higher value.
using Incarnation = std::uint64_t;

using RequestId = std::string;

// Priority of a request, highest first.
enum class Priority : std::uint8_t {
    Urgent,
    Standard,
    Bulk,
};

inline constexpr std::size_t priorityCount = 3;

// Whether a refused or reported request was executed, as far as known.
enum class Execution : std::uint8_t {
    NotRun,
    Ran,
    Running,
    Unknown,
};

// An index version and the partition-map epoch in which it is read.
struct Snapshot
{
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;

    // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
    friend auto operator<=>(const Snapshot &, const Snapshot &) = default; // NOLINT(modernize-use-nullptr)
};

// Half-open range [begin, end) of the key space; an empty end is the end of the key space.
struct KeyRange
{
    std::string begin;
    std::string end;

    friend bool operator==(const KeyRange &, const KeyRange &) = default;
};

// Identifies a backend server within a group; a pool service has one group with an empty name.
struct ReplicaKey
{
    std::string service;
    std::string group;
    // "IP:port" of the backend server.
    std::string address;

    friend auto operator<=>(const ReplicaKey &, const ReplicaKey &) = default; // NOLINT(modernize-use-nullptr)
};

} // namespace Galenawell

// The answer to one query: merged rows and aggregates, the snapshot, and the coverage.
#pragma once

#include "galenawell/core/identifiers.h"
#include "galenawell/core/reasons.h"
#include "galenawell/transport/httpheader.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Galenawell {

struct Coverage
{
    std::size_t total = 0;
    std::size_t answered = 0;
    std::vector<std::string> missing;

    bool complete() const
    {
        return this->answered == this->total;
    }
};

// Minimum, maximum, sum and count of the matching values. Without any value only the count is stated.
struct Aggregates
{
    std::uint64_t count = 0;
    double sum = 0;
    std::optional<double> minimum;
    std::optional<double> maximum;
};

// A reply that is passed on as it came.
struct ForwardedReply
{
    unsigned status = 0;
    // Without those that concern one connection only.
    std::vector<HttpHeader> headers{};
    std::string body{};
};

struct Row
{
    std::string key;
    nlohmann::json value;
};

// A backend server's reply to one subrequest, checked for form but not yet for fit.
struct Subreply
{
    std::uint64_t subrequestId = 0;
    Snapshot snapshot;
    std::string group;
    KeyRange range;
    std::vector<Row> rows;
    std::optional<Aggregates> aggregates;
    // Shows that the server made this reply for this request; opaque to galenawell.
    std::string proof{};
    // Records of fixed size, in any order, for queries that merge such.
    std::string records{};
    std::shared_ptr<const ForwardedReply> forwarded{};
};

struct Answer
{
    Snapshot snapshot;
    Coverage coverage;
    // Sorted by key.
    std::vector<Row> rows;
    std::optional<Aggregates> aggregates;
    // One for each merged reply that has one.
    std::vector<std::string> proofs{};
    std::string records{};
    // The one reply of a forwarded request.
    std::shared_ptr<const ForwardedReply> forwarded{};
};

} // namespace Galenawell

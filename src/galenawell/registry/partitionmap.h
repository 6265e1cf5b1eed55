// Key ranges of the groups of a sharded service in one epoch.
#pragma once

#include "galenawell/core/error.h"
#include "galenawell/core/identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Galenawell {

struct PartitionGroup
{
    std::string name;
    KeyRange range;

    friend bool operator==(const PartitionGroup &, const PartitionGroup &) = default;
};

struct PartitionMap
{
    std::string service;
    std::uint64_t epoch = 0;
    // Sorted by the begin of the range.
    std::vector<PartitionGroup> groups;

    friend bool operator==(const PartitionMap &, const PartitionMap &) = default;

    // An error unless the ranges cover the key space without gap or overlap and the names are unique.
    Status check() const;
};

// True if the ranges, in any order, cover the key space without gap or overlap.
bool coversKeySpaceOnce(std::vector<KeyRange> ranges);

} // namespace Galenawell

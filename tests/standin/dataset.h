// Deterministic data of a service: keys and values depend only on the number of keys and the version, so that tests can
// compute the expected answers.
#pragma once

#include "galenawell/core/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Galenawell::StandIn {

// Number of two-letter prefixes "aa".."zz".
inline constexpr std::size_t prefixCount = std::size_t{26} * 26;

// Prefix with the given index, in sorted order.
std::string prefixAt(std::size_t index);

// Range of one group under an epoch. The ranges of one epoch tile the key space; inner boundaries differ between adjacent epochs.
KeyRange rangeOfGroup(std::size_t group, std::size_t groups, std::uint64_t epoch);

class Dataset
{
public:
    explicit Dataset(std::size_t keys);

    // Two-letter prefix and a number; sorted like the index.
    std::string key(std::size_t index) const;
    // version * 1000 + a number below 1000 that depends on the key alone.
    std::uint64_t value(std::size_t index, std::uint64_t version) const;

    // Rows of the range whose keys have the prefix, sorted, at most `limit`.
    nlohmann::json rows(const KeyRange &range, std::uint64_t version, const std::string &prefix, std::size_t limit) const;
    // Count, sum, minimum and maximum; only the count if no key matches.
    nlohmann::json aggregates(const KeyRange &range, std::uint64_t version, const std::string &prefix) const;

private:
    struct Indexes
    {
        std::size_t begin;
        std::size_t end;
    };

    // Index of the first key that isn't below the text.
    std::size_t lowerBound(const std::string &text) const;
    Indexes select(const KeyRange &range, const std::string &prefix) const;

    std::size_t keyCount;
};

} // namespace Galenawell::StandIn

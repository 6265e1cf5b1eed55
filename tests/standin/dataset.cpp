#include "dataset.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Galenawell::StandIn {

namespace {

// Number of positions through which a boundary cycles from epoch to epoch.
constexpr std::size_t boundaryPositions = 4;

// The splitmix64 finaliser.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::string boundary(std::size_t position, std::size_t groups, std::uint64_t epoch)
{
    if (position == 0 || position == groups) {
        return {};
    }
    const std::size_t step = prefixCount / groups / boundaryPositions;
    return prefixAt(prefixCount * position / groups + epoch % boundaryPositions * step);
}

} // namespace

std::string prefixAt(std::size_t index)
{
    return {static_cast<char>('a' + index / 26), static_cast<char>('a' + index % 26)};
}

KeyRange rangeOfGroup(std::size_t group, std::size_t groups, std::uint64_t epoch)
{
    return {.begin = boundary(group, groups, epoch), .end = boundary(group + 1, groups, epoch)};
}

Dataset::Dataset(std::size_t keys)
    : keyCount(keys)
{
}

std::string Dataset::key(std::size_t index) const
{
    constexpr std::size_t digits = 8;
    const std::string number = std::to_string(index);
    return prefixAt(index * prefixCount / this->keyCount) + std::string(digits - std::min(digits, number.size()), '0') + number;
}

std::uint64_t Dataset::value(std::size_t index, std::uint64_t version) const
{
    return version * 1000 + mix(index) % 1000;
}

std::size_t Dataset::lowerBound(const std::string &text) const
{
    std::size_t low = 0;
    std::size_t high = this->keyCount;
    while (low < high) {
        const std::size_t middle = low + (high - low) / 2;
        if (this->key(middle) < text) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

Dataset::Indexes Dataset::select(const KeyRange &range, const std::string &prefix) const
{
    Indexes indexes{.begin = this->lowerBound(range.begin), .end = this->keyCount};
    if (!range.end.empty()) {
        indexes.end = this->lowerBound(range.end);
    }
    if (!prefix.empty()) {
        indexes.begin = std::max(indexes.begin, this->lowerBound(prefix));
        // Keys hold only letters and digits, so this text sorts after every key with the prefix.
        indexes.end = std::min(indexes.end, this->lowerBound(prefix + "~"));
    }
    indexes.end = std::max(indexes.begin, indexes.end);
    return indexes;
}

nlohmann::json Dataset::rows(const KeyRange &range, std::uint64_t version, const std::string &prefix, std::size_t limit) const
{
    const Indexes indexes = this->select(range, prefix);
    const std::size_t end = indexes.begin + std::min(limit, indexes.end - indexes.begin);
    nlohmann::json rows = nlohmann::json::array();
    for (std::size_t index = indexes.begin; index < end; ++index) {
        rows.push_back({{"key", this->key(index)}, {"value", this->value(index, version)}});
    }
    return rows;
}

nlohmann::json Dataset::aggregates(const KeyRange &range, std::uint64_t version, const std::string &prefix) const
{
    const Indexes indexes = this->select(range, prefix);
    nlohmann::json result{{"count", indexes.end - indexes.begin}};
    if (indexes.begin == indexes.end) {
        return result;
    }
    std::uint64_t sum = 0;
    std::uint64_t minimum = this->value(indexes.begin, version);
    std::uint64_t maximum = minimum;
    for (std::size_t index = indexes.begin; index < indexes.end; ++index) {
        const std::uint64_t value = this->value(index, version);
        sum += value;
        minimum = std::min(minimum, value);
        maximum = std::max(maximum, value);
    }
    result["sum"] = sum;
    result["minimum"] = minimum;
    result["maximum"] = maximum;
    return result;
}

} // namespace Galenawell::StandIn

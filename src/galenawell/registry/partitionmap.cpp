#include "galenawell/registry/partitionmap.h"

#include <algorithm>
#include <set>

namespace Galenawell {

bool coversKeySpaceOnce(std::vector<KeyRange> ranges)
{
    if (ranges.empty()) {
        return false;
    }
    std::ranges::sort(ranges, {}, &KeyRange::begin);
    if (!ranges.front().begin.empty() || !ranges.back().end.empty()) {
        return false;
    }
    for (std::size_t index = 0; index + 1 < ranges.size(); ++index) {
        const KeyRange &range = ranges[index];
        if (range.begin >= range.end || range.end != ranges[index + 1].begin) {
            return false;
        }
    }
    return true;
}

Status PartitionMap::check() const
{
    const std::string where = "partition map " + std::to_string(this->epoch) + " of service '" + this->service + "'";
    if (this->service.empty()) {
        return makeError(ErrorKind::InvalidReply, where + " names no service");
    }
    std::set<std::string> names;
    std::vector<KeyRange> ranges;
    for (const PartitionGroup &group : this->groups) {
        if (!names.insert(group.name).second) {
            return makeError(ErrorKind::InvalidReply, where + " names group '" + group.name + "' twice");
        }
        ranges.push_back(group.range);
    }
    if (!std::ranges::is_sorted(ranges, {}, &KeyRange::begin)) {
        return makeError(ErrorKind::InvalidReply, where + " isn't sorted by range");
    }
    if (!coversKeySpaceOnce(std::move(ranges))) {
        return makeError(ErrorKind::InvalidReply, where + " doesn't cover the key space exactly once");
    }
    return boost::outcome_v2::success();
}

} // namespace Galenawell

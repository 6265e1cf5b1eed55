// Merges the replies of one query. Accepts only replies that read the query's snapshot and match the partition map.
#pragma once

#include "galenawell/query/answer.h"
#include "galenawell/registry/partitionmap.h"

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace Galenawell {

enum class MergeVerdict : std::uint8_t {
    Merged,
    // A second reply of a merged group; ignored.
    Duplicate,
    WrongSnapshot,
    // The group or its range isn't in the partition map, or a row lies outside the range.
    WrongRange,
};

// Combines the replies of one query into its answer.
class ReplyCollector
{
public:
    ReplyCollector() = default;
    ReplyCollector(const ReplyCollector &) = delete;
    ReplyCollector &operator=(const ReplyCollector &) = delete;
    virtual ~ReplyCollector() = default;

    virtual MergeVerdict merge(Subreply reply) = 0;
    // Coverage of the replies merged so far.
    virtual Coverage coverage() const = 0;
    // The answer from the replies merged so far. Leaves the collector empty.
    virtual Answer take() = 0;
};

class AnswerMerger : public ReplyCollector
{
public:
    AnswerMerger(const PartitionMap &partitionMap, Snapshot pinned);

    MergeVerdict merge(Subreply reply) override;
    bool complete() const;
    Coverage coverage() const override;
    Answer take() override;

private:
    struct Part
    {
        bool merged = false;
        std::vector<Row> rows;
        std::optional<Aggregates> aggregates;
    };

    const PartitionMap &map;
    Snapshot snapshot;
    // One per group, in the order of the map, so that take() doesn't sort all rows.
    std::vector<Part> parts;
    // Sorted by name; the second member is the index in the map.
    std::vector<std::pair<std::string_view, std::size_t>> indexByName;
    std::size_t mergedCount = 0;

    std::optional<std::size_t> indexOf(std::string_view name) const;
};

// The JSON returned to callers. Aggregates over partial coverage carry "partial": true.
nlohmann::json toJson(const Answer &answer);

} // namespace Galenawell

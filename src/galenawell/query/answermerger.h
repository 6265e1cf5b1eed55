// Merges the replies of one query. Accepts only replies of the query's snapshot whose ranges are those of the map.
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
    // A second reply of a group that has been merged; dropped.
    Duplicate,
    WrongSnapshot,
    // Group or range isn't that of the partition map, or a row lies outside the range.
    WrongRange,
};

// Collects the replies of one query and makes its answer.
class ReplyCollector
{
public:
    ReplyCollector() = default;
    ReplyCollector(const ReplyCollector &) = delete;
    ReplyCollector &operator=(const ReplyCollector &) = delete;
    virtual ~ReplyCollector() = default;

    virtual MergeVerdict merge(Subreply reply) = 0;
    // True coverage of what has been merged so far.
    virtual Coverage coverage() const = 0;
    // The answer so far, with its true coverage. Leaves the collector empty.
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
    // One part per group, in the order of the map, so that taking the answer needs no sort over all rows.
    std::vector<Part> parts;
    // Sorted by name; the second member is the index in the map.
    std::vector<std::pair<std::string_view, std::size_t>> indexByName;
    std::size_t mergedCount = 0;

    std::optional<std::size_t> indexOf(std::string_view name) const;
};

// JSON of the answer as callers see it. Aggregates over partial coverage carry "partial": true.
nlohmann::json toJson(const Answer &answer);

} // namespace Galenawell

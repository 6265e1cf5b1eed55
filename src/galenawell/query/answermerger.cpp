#include "galenawell/query/answermerger.h"

#include <algorithm>
#include <iterator>

namespace Galenawell {

namespace {

bool inRange(const std::string &key, const KeyRange &range)
{
    return key >= range.begin && (range.end.empty() || key < range.end);
}

bool byKey(const Row &left, const Row &right)
{
    return left.key < right.key;
}

std::optional<double> lower(std::optional<double> left, std::optional<double> right)
{
    if (!left || !right) {
        return left ? left : right;
    }
    return std::min(*left, *right);
}

std::optional<double> higher(std::optional<double> left, std::optional<double> right)
{
    if (!left || !right) {
        return left ? left : right;
    }
    return std::max(*left, *right);
}

void add(Aggregates &total, const Aggregates &part)
{
    // A group without values must not contribute a minimum or maximum, even if its reply states one.
    if (part.count == 0) {
        return;
    }
    total.count += part.count;
    total.sum += part.sum;
    total.minimum = lower(total.minimum, part.minimum);
    total.maximum = higher(total.maximum, part.maximum);
}

nlohmann::json toJson(const Aggregates &aggregates, bool partial)
{
    nlohmann::json json{{"count", aggregates.count}};
    if (aggregates.count > 0) {
        json["sum"] = aggregates.sum;
        json["mean"] = aggregates.sum / static_cast<double>(aggregates.count);
        if (aggregates.minimum) {
            json["minimum"] = *aggregates.minimum;
        }
        if (aggregates.maximum) {
            json["maximum"] = *aggregates.maximum;
        }
    }
    if (partial) {
        json["partial"] = true;
    }
    return json;
}

} // namespace

AnswerMerger::AnswerMerger(const PartitionMap &partitionMap, Snapshot pinned)
    : map(partitionMap)
    , snapshot(pinned)
    , parts(partitionMap.groups.size())
{
    this->indexByName.reserve(partitionMap.groups.size());
    for (std::size_t index = 0; index < partitionMap.groups.size(); ++index) {
        this->indexByName.emplace_back(partitionMap.groups[index].name, index);
    }
    std::sort(this->indexByName.begin(), this->indexByName.end());
}

std::optional<std::size_t> AnswerMerger::indexOf(std::string_view name) const
{
    const std::pair<std::string_view, std::size_t> wanted(name, 0);
    const auto found = std::lower_bound(this->indexByName.begin(), this->indexByName.end(), wanted);
    if (found == this->indexByName.end() || found->first != name) {
        return std::nullopt;
    }
    return found->second;
}

MergeVerdict AnswerMerger::merge(Subreply reply)
{
    if (reply.snapshot != this->snapshot) {
        return MergeVerdict::WrongSnapshot;
    }
    const std::optional<std::size_t> index = this->indexOf(reply.group);
    if (!index) {
        return MergeVerdict::WrongRange;
    }
    const KeyRange &range = this->map.groups[*index].range;
    Part &part = this->parts[*index];
    if (reply.range != range) {
        return MergeVerdict::WrongRange;
    }
    if (part.merged) {
        return MergeVerdict::Duplicate;
    }
    for (const Row &row : reply.rows) {
        if (!inRange(row.key, range)) {
            return MergeVerdict::WrongRange;
        }
    }
    if (!std::is_sorted(reply.rows.begin(), reply.rows.end(), byKey)) {
        std::stable_sort(reply.rows.begin(), reply.rows.end(), byKey);
    }
    part.merged = true;
    part.rows = std::move(reply.rows);
    part.aggregates = reply.aggregates;
    ++this->mergedCount;
    return MergeVerdict::Merged;
}

bool AnswerMerger::complete() const
{
    return this->mergedCount == this->parts.size();
}

Coverage AnswerMerger::coverage() const
{
    Coverage coverage{.total = this->parts.size(), .answered = this->mergedCount, .missing = {}};
    for (std::size_t index = 0; index < this->parts.size(); ++index) {
        if (!this->parts[index].merged) {
            coverage.missing.push_back(this->map.groups[index].name);
        }
    }
    return coverage;
}

Answer AnswerMerger::take()
{
    Answer answer{.snapshot = this->snapshot, .coverage = this->coverage(), .rows = {}, .aggregates = std::nullopt};
    std::size_t rowCount = 0;
    std::size_t withAggregates = 0;
    for (const Part &part : this->parts) {
        rowCount += part.rows.size();
        withAggregates += part.aggregates ? 1 : 0;
    }
    answer.rows.reserve(rowCount);
    // Aggregates must have the same coverage as the answer, so all merged groups must have them.
    if (withAggregates > 0 && withAggregates == this->mergedCount) {
        answer.aggregates.emplace();
    }
    for (Part &part : this->parts) {
        std::move(part.rows.begin(), part.rows.end(), std::back_inserter(answer.rows));
        part.rows.clear();
        if (answer.aggregates && part.aggregates) {
            add(*answer.aggregates, *part.aggregates);
        }
    }
    return answer;
}

nlohmann::json toJson(const Answer &answer)
{
    nlohmann::json json;
    // Pool services have no snapshot.
    if (answer.snapshot != Snapshot{}) {
        json["snapshot"] = {{"version", answer.snapshot.version}, {"epoch", answer.snapshot.epoch}};
    }
    json["coverage"] = {
        {"total", answer.coverage.total},
        {"answered", answer.coverage.answered},
        {"missing", answer.coverage.missing},
    };
    json["rows"] = nlohmann::json::array();
    for (const Row &row : answer.rows) {
        json["rows"].push_back({{"key", row.key}, {"value", row.value}});
    }
    if (answer.aggregates) {
        json["aggregates"] = toJson(*answer.aggregates, !answer.coverage.complete());
    }
    return json;
}

} // namespace Galenawell

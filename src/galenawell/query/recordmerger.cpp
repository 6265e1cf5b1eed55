#include "galenawell/query/recordmerger.h"

#include <algorithm>
#include <cstring>
#include <string_view>

namespace Galenawell {

RecordMerger::RecordMerger(const PartitionMap &partitionMap, std::size_t recordLimit)
    : map(partitionMap)
    , limit(recordLimit)
    , parts(partitionMap.groups.size())
{
}

MergeVerdict RecordMerger::merge(Subreply reply)
{
    const auto group = std::ranges::find(this->map.groups, reply.group, &PartitionGroup::name);
    if (group == this->map.groups.end()) {
        return MergeVerdict::WrongRange;
    }
    Part &part = this->parts[static_cast<std::size_t>(group - this->map.groups.begin())];
    // The same proof under two groups is one reply, which must not count twice.
    const bool repeated = std::ranges::any_of(this->parts, [&](const Part &other) { return other.merged && other.proof == reply.proof; });
    if (part.merged || repeated) {
        return MergeVerdict::Duplicate;
    }
    part = Part{.merged = true, .proof = std::move(reply.proof), .records = std::move(reply.records)};
    ++this->mergedCount;
    return MergeVerdict::Merged;
}

Coverage RecordMerger::coverage() const
{
    Coverage coverage{.total = this->parts.size(), .answered = this->mergedCount, .missing = {}};
    for (std::size_t index = 0; index < this->parts.size(); ++index) {
        if (!this->parts[index].merged) {
            coverage.missing.push_back(this->map.groups[index].name);
        }
    }
    return coverage;
}

Answer RecordMerger::take()
{
    Answer answer;
    answer.coverage = this->coverage();
    std::vector<std::string_view> records;
    for (Part &part : this->parts) {
        if (!part.merged) {
            continue;
        }
        answer.proofs.push_back(std::move(part.proof));
        const std::string_view bytes = part.records;
        for (std::size_t start = 0; start + recordBytes <= bytes.size(); start += recordBytes) {
            records.push_back(bytes.substr(start, recordBytes));
        }
    }
    const std::size_t kept = std::min(this->limit, records.size());
    // string_view compares as unsigned bytes.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(), std::greater<>());
    answer.records.reserve(kept * recordBytes);
    for (std::size_t index = 0; index < kept; ++index) {
        answer.records += records[index];
    }
    return answer;
}

MergeVerdict ForwardedReplyCollector::merge(Subreply subreply)
{
    if (this->reply != nullptr) {
        return MergeVerdict::Duplicate;
    }
    this->reply = std::move(subreply.forwarded);
    return MergeVerdict::Merged;
}

Coverage ForwardedReplyCollector::coverage() const
{
    return Coverage{.total = 1, .answered = this->reply == nullptr ? 0U : 1U, .missing = {}};
}

Answer ForwardedReplyCollector::take()
{
    Answer answer;
    answer.coverage = this->coverage();
    answer.forwarded = std::move(this->reply);
    return answer;
}

} // namespace Galenawell

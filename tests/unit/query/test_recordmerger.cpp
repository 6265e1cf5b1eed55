#include "galenawell/query/recordmerger.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace Galenawell;

namespace {

PartitionMap mapOf(std::size_t groups)
{
    PartitionMap map{.service = "s", .epoch = 0, .groups = {}};
    for (std::size_t index = 0; index < groups; ++index) {
        map.groups.push_back({.name = "g" + std::to_string(index), .range = {}});
    }
    return map;
}

Subreply replyOf(const std::string &group, const std::string &proof, const std::string &records)
{
    Subreply reply;
    reply.group = group;
    reply.proof = proof;
    reply.records = records;
    return reply;
}

// Reference implementation: sorts all records.
std::string referenceMerge(const std::vector<std::string> &parts, std::size_t limit)
{
    std::vector<std::string> records;
    for (const std::string &part : parts) {
        for (std::size_t start = 0; start + recordBytes <= part.size(); start += recordBytes) {
            records.push_back(part.substr(start, recordBytes));
        }
    }
    std::sort(records.begin(), records.end(), [](const std::string &left, const std::string &right) {
        return std::lexicographical_compare(right.begin(), right.end(), left.begin(), left.end(), [](char one, char other) {
            return static_cast<unsigned char>(one) < static_cast<unsigned char>(other);
        });
    });
    std::string merged;
    for (std::size_t index = 0; index < std::min(limit, records.size()); ++index) {
        merged += records[index];
    }
    return merged;
}

} // namespace

// Guards against signed comparison of bytes, dropped duplicates, and a truncated last record.
Test(recordmerger, agrees_with_sorting_all_records)
{
    const bool held = rc::check("merged records", [] {
        const auto groups = *rc::gen::inRange<std::size_t>(1, 6);
        const auto limit = *rc::gen::inRange<std::size_t>(0, 12);
        const PartitionMap map = mapOf(groups);
        RecordMerger merger(map, limit);
        std::vector<std::string> merged;
        for (std::size_t index = 0; index < groups; ++index) {
            if (*rc::gen::arbitrary<bool>()) {
                continue;
            }
            // Few distinct bytes, so that equal records occur.
            const auto length = *rc::gen::inRange<std::size_t>(0, 60);
            const auto bytes = *rc::gen::container<std::string>(length, rc::gen::element('\x00', '\x7f', '\x80', '\xff'));
            RC_ASSERT(merger.merge(replyOf(map.groups[index].name, "p" + std::to_string(index), bytes)) == MergeVerdict::Merged);
            merged.push_back(bytes);
        }
        RC_ASSERT(merger.coverage().answered == merged.size());
        RC_ASSERT(merger.coverage().missing.size() == groups - merged.size());
        const Answer answer = merger.take();
        RC_ASSERT(answer.records == referenceMerge(merged, limit));
        RC_ASSERT(answer.proofs.size() == merged.size());
    });
    cr_assert(held);
}

// Guards against counting one reply twice: a second reply of a group, or one proof under two groups.
Test(recordmerger, each_group_and_each_proof_count_once)
{
    const PartitionMap map = mapOf(2);
    RecordMerger merger(map, 5);
    const std::string record(recordBytes, 'x');
    cr_assert(merger.merge(replyOf("g0", "p", record)) == MergeVerdict::Merged);
    cr_assert(merger.merge(replyOf("g0", "q", record)) == MergeVerdict::Duplicate);
    cr_assert(merger.merge(replyOf("g1", "p", record)) == MergeVerdict::Duplicate);
    cr_assert(merger.merge(replyOf("g9", "r", record)) == MergeVerdict::WrongRange);
    cr_assert(merger.coverage().answered == 1);
}

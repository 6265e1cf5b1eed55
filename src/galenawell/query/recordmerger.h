// Merges replies of fixed-size binary records into the greatest records, with the proofs of the merged replies.
#pragma once

#include "galenawell/query/answermerger.h"

#include <cstddef>
#include <vector>

namespace Galenawell {

// Records compare as unsigned bytes. A shorter remainder of a reply is ignored.
inline constexpr std::size_t recordBytes = 16;

class RecordMerger : public ReplyCollector
{
public:
    // The map must outlive the merger.
    RecordMerger(const PartitionMap &partitionMap, std::size_t recordLimit);

    MergeVerdict merge(Subreply reply) override;
    Coverage coverage() const override;
    // The greatest records of all merged replies, in descending order, duplicates included.
    Answer take() override;

private:
    struct Part
    {
        bool merged = false;
        std::string proof;
        std::string records;
    };

    const PartitionMap &map;
    std::size_t limit;
    // One per group, in the order of the map.
    std::vector<Part> parts;
    std::size_t mergedCount = 0;
};

// Returns the one reply of a request unchanged.
class ForwardedReplyCollector : public ReplyCollector
{
public:
    MergeVerdict merge(Subreply reply) override;
    Coverage coverage() const override;
    Answer take() override;

private:
    std::shared_ptr<const ForwardedReply> reply;
};

} // namespace Galenawell

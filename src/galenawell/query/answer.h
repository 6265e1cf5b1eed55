// Reply of one backend server, and the answer merged from such replies: rows, aggregates, snapshot and coverage.
#pragma once

#include "galenawell/core/identifiers.h"
#include "galenawell/core/reasons.h"
#include "galenawell/transport/httpheader.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Galenawell {

struct Coverage
{
    std::size_t total = 0;
    std::size_t answered = 0;
    std::vector<std::string> missing;

    bool complete() const
    {
        return this->answered == this->total;
    }
};

// Statistics of the matching values. Only the count is reported if there are none.
struct Aggregates
{
    std::uint64_t count = 0;
    double sum = 0;
    std::optional<double> minimum;
    std::optional<double> maximum;
};

// A reply that is forwarded unchanged.
struct ForwardedReply
{
    unsigned status = 0;
    // Without hop-by-hop headers.
    std::vector<HttpHeader> headers{};
    std::string body{};
    // Counts the reply as held in memory.
    std::shared_ptr<const void> reservation{};
};

struct Row
{
    std::string key;
    nlohmann::json value;
};

// A backend server's reply to one subrequest. Well-formed, but snapshot, group and range aren't checked yet.
struct Subreply
{
    std::uint64_t subrequestId = 0;
    Snapshot snapshot;
    std::string group;
    KeyRange range;
    std::vector<Row> rows;
    std::optional<Aggregates> aggregates;
    // Opaque proof that the server made this reply for this request.
    std::string proof{};
    // Records of fixed size, in any order, for queries that merge records.
    std::string records{};
    std::shared_ptr<const ForwardedReply> forwarded{};
};

struct Answer
{
    Snapshot snapshot;
    Coverage coverage;
    // Sorted by key.
    std::vector<Row> rows;
    std::optional<Aggregates> aggregates;
    // One per merged reply of a query that merges records.
    std::vector<std::string> proofs{};
    std::string records{};
    // The one reply of a forwarded request.
    std::shared_ptr<const ForwardedReply> forwarded{};
};

} // namespace Galenawell

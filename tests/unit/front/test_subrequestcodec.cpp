#include "galenawell/front/subrequestcodec.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

using namespace Galenawell;

namespace {

nlohmann::json reply()
{
    return {{"subrequestId", 7},
            {"epoch", 2},
            {"version", 5},
            {"group", "g1"},
            {"rangeBegin", "a"},
            {"rangeEnd", "m"},
            {"rows", {{{"key", "b"}, {"value", 1}}}},
            {"aggregates", {{"count", 1}, {"sum", 2.5}, {"minimum", 2.5}, {"maximum", nullptr}}},
            {"load", {{"running", 3}, {"waiting", 4}}}};
}

nlohmann::json refusal()
{
    return {{"subrequestId", 7}, {"refusal", "draining"}, {"execution", "not_run"}};
}

} // namespace

// Guards against fields of a reply that are lost by parsing and thus missing from the merged answer.
Test(subrequest_codec, a_complete_reply_is_parsed)
{
    const ParsedReply parsed = parseReply(200, reply().dump(), 7).value();
    cr_assert(parsed.subreply && !parsed.refusal);
    cr_assert(parsed.subreply->snapshot == (Snapshot{.epoch = 2, .version = 5}));
    cr_assert(parsed.subreply->range == (KeyRange{.begin = "a", .end = "m"}));
    cr_assert_eq(parsed.subreply->rows.size(), 1);
    cr_assert(parsed.subreply->aggregates->minimum == 2.5 && !parsed.subreply->aggregates->maximum);
    cr_assert(parsed.load.running == 3 && parsed.load.waiting == 4);
}

// Guards against parsing a truncated reply as a complete one.
Test(subrequest_codec, a_truncated_reply_is_refused_at_every_length)
{
    const std::string text = reply().dump();
    for (std::size_t length = 0; length < text.size(); ++length) {
        cr_assert(!parseReply(200, text.substr(0, length), 7), "length %zu", length);
    }
}

// Guards against merging a reply that lacks a field that identifies the request, snapshot, group or range of its rows.
Test(subrequest_codec, a_reply_without_a_required_field_is_refused)
{
    for (const char *field : {"subrequestId", "epoch", "version", "group", "rangeBegin", "rangeEnd", "rows"}) {
        nlohmann::json document = reply();
        document.erase(field);
        cr_assert(!parseReply(200, document.dump(), 7), "%s", field);
    }
}

// Guards against rows of another type that count as none, so that rows are missing from an answer that states full coverage.
Test(subrequest_codec, rows_that_are_no_array_are_refused)
{
    for (const nlohmann::json &wrong : {nlohmann::json(nullptr), nlohmann::json::object(), nlohmann::json(0), nlohmann::json("")}) {
        nlohmann::json document = reply();
        document["rows"] = wrong;
        cr_assert(!parseReply(200, document.dump(), 7), "%s", wrong.dump().c_str());
    }
}

// Guards against merging the reply to one request into the answer to another.
Test(subrequest_codec, a_reply_or_refusal_with_another_id_is_refused)
{
    cr_assert(!parseReply(200, reply().dump(), 8));
    cr_assert(!parseReply(503, refusal().dump(), 8));
}

// Guards against numbers whose value changes in the conversion: -1 to a large count, 5.9 to version 5.
Test(subrequest_codec, values_other_than_non_negative_integers_are_refused)
{
    for (const char *pointer : {"/subrequestId", "/epoch", "/version", "/aggregates/count", "/load/running", "/load/waiting"}) {
        for (const nlohmann::json &wrong : {nlohmann::json(-1), nlohmann::json(7.5), nlohmann::json(true)}) {
            nlohmann::json document = reply();
            document[nlohmann::json::json_pointer(pointer)] = wrong;
            cr_assert(!parseReply(200, document.dump(), 7), "%s %s", pointer, wrong.dump().c_str());
        }
    }
}

// Guards against retrying a request that may have run: only status 503 with "execution": "not_run" is a refusal.
Test(subrequest_codec, a_refusal_needs_execution_not_run)
{
    cr_assert(parseReply(503, refusal().dump(), 7).value().refusal == RetryReason::Draining);
    nlohmann::json incomplete = refusal();
    incomplete.erase("execution");
    cr_assert(!parseReply(503, incomplete.dump(), 7));
    for (const char *execution : {"unknown", "ran", ""}) {
        nlohmann::json document = refusal();
        document["execution"] = execution;
        cr_assert(!parseReply(503, document.dump(), 7));
    }
    cr_assert(!parseReply(500, refusal().dump(), 7));
    cr_assert(!parseReply(200, refusal().dump(), 7));
    nlohmann::json unsupported = refusal();
    unsupported["refusal"] = "unsupported";
    cr_assert(!parseReply(503, unsupported.dump(), 7));
}

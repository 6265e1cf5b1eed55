#include "galenawell/front/subrequestcodec.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>

namespace Galenawell {

namespace {

constexpr unsigned httpOk = 200;
constexpr unsigned httpUnavailable = 503;

struct RefusalName
{
    std::string_view name;
    RetryReason reason;
};

constexpr std::array refusalNames{
    RefusalName{"draining", RetryReason::Draining},
    RefusalName{"overloaded", RetryReason::Overloaded},
    RefusalName{"wrong_version", RetryReason::WrongVersion},
    RefusalName{"starting", RetryReason::Starting},
};

// nlohmann::json converts negative numbers, fractions and booleans to an unsigned integer without an error.
std::uint64_t readCount(const nlohmann::json &document, const char *field)
{
    const nlohmann::json &value = document.at(field);
    if (!value.is_number_unsigned()) {
        throw nlohmann::json::type_error::create(302, std::string(field) + " isn't a non-negative integer", &value);
    }
    return value.get<std::uint64_t>();
}

std::uint32_t readLoadCount(const nlohmann::json &document, const char *field)
{
    constexpr std::uint64_t maximum = std::numeric_limits<std::uint32_t>::max();
    return document.contains(field) ? static_cast<std::uint32_t>(std::min(readCount(document, field), maximum)) : 0;
}

LoadReport readLoad(const nlohmann::json &document)
{
    LoadReport load;
    const auto found = document.find("load");
    if (found != document.end() && found->is_object()) {
        load.running = readLoadCount(*found, "running");
        load.waiting = readLoadCount(*found, "waiting");
    }
    return load;
}

std::optional<RetryReason> readRefusal(const nlohmann::json &document)
{
    const std::string name = document.value("refusal", std::string());
    // Without the explicit statement, the subrequest may have run.
    if (document.value("execution", std::string()) != "not_run") {
        return std::nullopt;
    }
    for (const RefusalName &known : refusalNames) {
        if (known.name == name) {
            return known.reason;
        }
    }
    return std::nullopt;
}

Aggregates readAggregates(const nlohmann::json &document)
{
    Aggregates aggregates;
    aggregates.count = readCount(document, "count");
    aggregates.sum = document.value("sum", 0.0);
    if (document.contains("minimum") && !document.at("minimum").is_null()) {
        aggregates.minimum = document.at("minimum").get<double>();
    }
    if (document.contains("maximum") && !document.at("maximum").is_null()) {
        aggregates.maximum = document.at("maximum").get<double>();
    }
    return aggregates;
}

Subreply readSubreply(const nlohmann::json &document)
{
    Subreply reply;
    reply.subrequestId = readCount(document, "subrequestId");
    reply.snapshot.epoch = readCount(document, "epoch");
    reply.snapshot.version = readCount(document, "version");
    reply.group = document.at("group").get<std::string>();
    reply.range.begin = document.at("rangeBegin").get<std::string>();
    reply.range.end = document.at("rangeEnd").get<std::string>();
    // A null would be taken for no rows.
    for (const nlohmann::json &row : document.at("rows").get_ref<const nlohmann::json::array_t &>()) {
        reply.rows.push_back(Row{.key = row.at("key").get<std::string>(), .value = row.at("value")});
    }
    if (document.contains("aggregates") && !document.at("aggregates").is_null()) {
        reply.aggregates = readAggregates(document.at("aggregates"));
    }
    return reply;
}

} // namespace

std::string encodeSubrequest(const SubrequestFields &fields)
{
    const nlohmann::json document{
        {"requestId", fields.requestId},
        {"subrequestId", fields.subrequestId},
        {"service", fields.service},
        {"group", fields.group},
        {"epoch", fields.snapshot.epoch},
        {"version", fields.snapshot.version},
        {"deadlineMs", fields.deadline.count()},
        {"body", fields.body},
    };
    return document.dump();
}

Result<ParsedReply> parseReply(unsigned httpStatus, const std::string &body, std::uint64_t expectedId)
{
    Result<ParsedReply> parsed = parseReply(httpStatus, body);
    if (parsed && parsed.value().subrequestId != expectedId) {
        return makeError(ErrorKind::InvalidReply, "the reply has another subrequest id");
    }
    return parsed;
}

Result<ParsedReply> parseReply(unsigned httpStatus, const std::string &body)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return makeError(ErrorKind::InvalidReply, "the reply isn't a JSON object");
    }
    ParsedReply parsed;
    try {
        parsed.subrequestId = readCount(document, "subrequestId");
        parsed.load = readLoad(document);
        if (httpStatus == httpUnavailable) {
            parsed.refusal = readRefusal(document);
        }
        if (httpStatus == httpOk) {
            parsed.subreply = readSubreply(document);
        }
    } catch (const nlohmann::json::exception &exception) {
        return makeError(ErrorKind::InvalidReply, exception.what());
    }
    if (!parsed.subreply && !parsed.refusal) {
        return makeError(ErrorKind::InvalidReply,
                         "the reply with status " + std::to_string(httpStatus) + " has neither content nor a refusal");
    }
    return parsed;
}

} // namespace Galenawell

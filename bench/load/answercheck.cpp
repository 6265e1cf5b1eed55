#include "answercheck.h"

#include <nlohmann/json.hpp>

namespace Galenawell::Load {

namespace {

using Json = nlohmann::json;

// The stand-in's values are version * valuesPerVersion plus a smaller number.
constexpr std::uint64_t valuesPerVersion = 1000;

RequestOutcome wrongOutcome(const std::string &reason)
{
    return {.kind = OutcomeKind::Wrong, .reason = reason};
}

bool belongsToVersion(const Json &value, std::uint64_t version)
{
    return value.is_number() && static_cast<std::uint64_t>(value.get<double>()) / valuesPerVersion == version;
}

// The checks return the reason of the first violation, or an empty text. Rows must be sorted, without repetition, and of
// one version.
std::string checkRows(const LoadOptions &options, const Json &rows, std::uint64_t version)
{
    std::string previous;
    for (const Json &row : rows) {
        const auto key = row.at("key").get<std::string>();
        if (key <= previous) {
            return "rows_unsorted";
        }
        if (options.standInValues && !belongsToVersion(row.at("value"), version)) {
            return "row_of_another_snapshot";
        }
        previous = key;
    }
    return {};
}

std::string checkAggregates(const LoadOptions &options, const Json &aggregates, std::uint64_t version)
{
    const auto count = aggregates.at("count").get<std::uint64_t>();
    if (count == 0) {
        return aggregates.contains("minimum") || aggregates.contains("maximum") ? "value_without_rows" : std::string();
    }
    const bool sameVersion = belongsToVersion(aggregates.at("minimum"), version) && belongsToVersion(aggregates.at("maximum"), version);
    return options.standInValues && !sameVersion ? "aggregate_of_another_snapshot" : std::string();
}

bool isComplete(const Json &coverage)
{
    const auto total = coverage.at("total").get<std::uint64_t>();
    const auto answered = coverage.at("answered").get<std::uint64_t>();
    return total == answered && coverage.at("missing").empty();
}

std::string checkCoverage(const Json &coverage)
{
    const auto total = coverage.at("total").get<std::uint64_t>();
    const auto answered = coverage.at("answered").get<std::uint64_t>();
    const bool isConsistent = answered + coverage.at("missing").size() == total;
    return isConsistent && total > 0 ? std::string() : "coverage_does_not_add_up";
}

std::string checkCounts(const LoadOptions &options, const Json &answer)
{
    if (options.expectedRows && answer.at("rows").size() != *options.expectedRows) {
        return "wrong_number_of_rows";
    }
    if (options.expectedCount && answer.at("aggregates").at("count").get<std::uint64_t>() != *options.expectedCount) {
        return "wrong_aggregate_count";
    }
    return {};
}

RequestOutcome checkPoolAnswer(const LoadOptions &options, const Json &answer)
{
    if (answer.at("execution").get<std::string>() != "ran") {
        return wrongOutcome("answer_without_run");
    }
    const std::string violation = checkCounts(options, answer);
    return violation.empty() ? RequestOutcome{.kind = OutcomeKind::Complete, .reason = {}} : wrongOutcome(violation);
}

RequestOutcome checkAnswer(const LoadOptions &options, const Json &answer)
{
    const auto version = answer.at("snapshot").at("version").get<std::uint64_t>();
    const Json rows = answer.value("rows", Json::array());
    std::string violation = checkRows(options, rows, version);
    const auto aggregates = answer.find("aggregates");
    if (violation.empty() && aggregates != answer.end() && aggregates->is_object()) {
        violation = checkAggregates(options, *aggregates, version);
    }
    const Json &coverage = answer.at("coverage");
    if (violation.empty()) {
        violation = checkCoverage(coverage);
    }
    const bool complete = isComplete(coverage);
    if (violation.empty() && complete) {
        violation = checkCounts(options, answer);
    }
    if (violation.empty() && !complete && !options.partialAllowed) {
        violation = "partial_answer_not_allowed";
    }
    if (!violation.empty()) {
        return wrongOutcome(violation);
    }
    return {.kind = complete ? OutcomeKind::Complete : OutcomeKind::Partial, .reason = {}};
}

} // namespace

RequestOutcome checkReply(const LoadOptions &options, const std::string &requestId, unsigned status, const std::string &body)
{
    const Json reply = Json::parse(body, nullptr, false);
    if (!reply.is_object()) {
        return wrongOutcome("malformed_reply");
    }
    try {
        if (status == 200) {
            if (reply.at("id").get<std::string>() != requestId) {
                return wrongOutcome("id_of_another_request");
            }
            return options.isPool ? checkPoolAnswer(options, reply) : checkAnswer(options, reply);
        }
        // A front that refuses a request before reading it omits the id.
        if (reply.value("id", requestId) != requestId) {
            return wrongOutcome("id_of_another_request");
        }
        return {.kind = OutcomeKind::Refused, .reason = reply.at("reason").get<std::string>()};
    } catch (const Json::exception &) {
        return wrongOutcome("malformed_reply");
    }
}

} // namespace Galenawell::Load

// The search command, which sends one query through the caller API.
#include "galenawell/command.h"
#include "galenawell/core/reasons.h"
#include "galenawell/operatorclient.h"
#include "galenawell/table.h"

#include <array>
#include <boost/outcome/try.hpp>
#include <chrono>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>

namespace Galenawell {

namespace Detail {

namespace {

using Json = nlohmann::json;

// Lets an answer that is sent at the deadline still arrive.
constexpr std::chrono::milliseconds replyMargin{2000};
constexpr std::uint64_t maximumDeadlineMs = 3'600'000;

constexpr std::array rowColumns{Column{"KEY", "key"}, Column{"VALUE", "value"}};

void addSearchOptions(CommandOptions &options)
{
    namespace po = boost::program_options;
    auto add = options.visible.add_options();
    add("address,a", po::value<std::vector<std::string>>(), "caller address of a front, IP:port; may be repeated, tried in turn");
    add("service,s", po::value<std::string>(), "service to query");
    add("priority", po::value<std::string>()->default_value("standard"), "urgent, standard or bulk");
    add("deadline", po::value<std::string>()->default_value("2000"), "deadline of the answer in milliseconds");
    add("caller", po::value<std::string>()->default_value("galenawell-cli"), "name of the caller, for fairness between callers");
    add("id", po::value<std::string>(), "id of the request; default: <unix milliseconds>-<random>");
    add("partial", "accept an answer without full coverage");
    add("not-idempotent", "the request must run at most once");
    add("body-file", po::value<std::string>(), "read the body from a file");
    add("outcome", po::value<std::string>(), "show the recorded outcome of a request id instead of sending a query");
    options.addArgument("body", 1);
}

std::string makeRequestId()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    std::random_device device;
    std::ostringstream text;
    text << std::chrono::duration_cast<std::chrono::milliseconds>(now).count() << '-' << std::hex << device() << device();
    return text.str();
}

CommandResult<Json> readBody(const Invocation &invocation)
{
    std::string text = invocation.text("body");
    if (invocation.has("body-file")) {
        std::ifstream stream(invocation.text("body-file"), std::ios::binary);
        text.assign(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
    }
    Json body = Json::parse(text, nullptr, false);
    if (body.is_discarded()) {
        return usageError("BODY must be JSON, or --body-file must name a readable file with JSON");
    }
    return body;
}

CommandResult<std::uint64_t> readDeadline(const Invocation &invocation)
{
    BOOST_OUTCOME_TRY(const std::uint64_t deadline, invocation.number("deadline"));
    if (deadline == 0 || deadline > maximumDeadlineMs) {
        return usageError("--deadline must be from 1 to " + std::to_string(maximumDeadlineMs) + " milliseconds");
    }
    return deadline;
}

CommandResult<Json> makeQuery(const Invocation &invocation, std::uint64_t deadline)
{
    BOOST_OUTCOME_TRY(const std::string service, invocation.required("service", "--service"));
    BOOST_OUTCOME_TRY(const Json body, readBody(invocation));
    const std::string priority = invocation.text("priority");
    if (!priorityFromString(priority)) {
        return usageError("--priority must be urgent, standard or bulk, is \"" + priority + "\"");
    }
    return Json{{"id", invocation.has("id") ? invocation.text("id") : makeRequestId()},
                {"caller", invocation.text("caller")},
                {"service", service},
                {"priority", priority},
                {"deadlineMs", deadline},
                {"idempotent", !invocation.has("not-idempotent")},
                {"partialAllowed", invocation.has("partial")},
                {"body", body}};
}

void printAnswer(std::ostream &out, const Json &answer)
{
    const Json snapshot = answer.value("snapshot", Json::object());
    const Json coverage = answer.value("coverage", Json::object());
    out << "request " << memberText(answer, "id") << ": " << memberText(answer, "execution") << '\n';
    if (snapshot.is_object() && !snapshot.empty()) {
        out << "snapshot: epoch " << memberText(snapshot, "epoch") << ", version " << memberText(snapshot, "version") << '\n';
    }
    if (coverage.is_object() && !coverage.empty()) {
        out << "coverage: " << memberText(coverage, "answered") << " of " << memberText(coverage, "total") << " groups, missing "
            << memberText(coverage, "missing") << '\n';
    }
    if (answer.contains("aggregates")) {
        out << "aggregates: " << answer["aggregates"].dump() << '\n';
    }
    if (answer.contains("rows") && answer["rows"].is_array()) {
        printTable(out, rowColumns, answer["rows"]);
    }
}

// Only a refusal with the execution "not_run" guarantees that nothing ran.
CommandError queryError(const HttpReply &reply, const std::string &id)
{
    CommandError error = errorFromReply(reply, true);
    const std::string execution = memberText(reply.body, "execution");
    if (execution == "not_run") {
        error.code = ExitCode::Refused;
    } else if (execution != "-") {
        error.code = ExitCode::OutcomeUnknown;
    }
    error.detail = "request " + id + " refused: " + error.kind + ", execution " + execution;
    return error;
}

CommandResult<ExitCode> printAnswerOrError(const Invocation &invocation, const HttpReply &reply, const std::string &id)
{
    constexpr unsigned okStatus = 200;
    if (reply.status != okStatus) {
        return queryError(reply, id);
    }
    if (invocation.json()) {
        printJson(invocation.out, reply.body);
    } else {
        printAnswer(invocation.out, reply.body);
    }
    return ExitCode::Done;
}

bool isUrlSafe(const std::string &id)
{
    return !id.empty() && id.find_first_not_of("0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-._") == std::string::npos;
}

CommandResult<ExitCode> runOutcome(const Invocation &invocation, ClientOptions options)
{
    const std::string id = invocation.text("outcome");
    if (!isUrlSafe(id)) {
        return usageError("--outcome must be a request id of letters, digits, '-', '.' and '_'");
    }
    BOOST_OUTCOME_TRY(const Json reply, OperatorClient(std::move(options)).get("/v1/requests/" + id));
    return printAnswerOrError(invocation, HttpReply{.status = 200, .body = reply}, id);
}

CommandResult<ExitCode> runSearch(const Invocation &invocation)
{
    ClientOptions options;
    BOOST_OUTCOME_TRY(options.addresses, parseAddresses(invocation.texts("address")));
    BOOST_OUTCOME_TRY(const std::uint64_t deadline, readDeadline(invocation));
    options.timeout = std::chrono::milliseconds(deadline) + replyMargin;
    if (invocation.has("outcome")) {
        return runOutcome(invocation, std::move(options));
    }
    BOOST_OUTCOME_TRY(const Json query, makeQuery(invocation, deadline));
    const std::string id = query["id"].get<std::string>();
    // Never resent: fronts retry, and retries by the tool as well would add to an overload.
    const CommandResult<HttpReply> reply = OperatorClient(std::move(options)).post("/v1/query", query, Resend::Forbidden);
    if (reply.has_error()) {
        CommandError error = reply.error();
        if (error.code == ExitCode::OutcomeUnknown) {
            error.remedy = "show the outcome with `galenawell search --outcome " + id + "`";
        }
        return error;
    }
    return printAnswerOrError(invocation, reply.value(), id);
}

constexpr std::array commands{
    Command{.name = "search",
            .arguments = "BODY",
            .summary = "Send one query to a front's caller address",
            .examples = "  galenawell search '{\"prefix\": \"pack-\"}' -s drafting-desk -a 192.0.2.11:8000\n"
                        "  galenawell search --body-file query.json -s tenancy-desk --priority urgent --partial --json -a 192.0.2.11:8000\n"
                        "  galenawell search --outcome 1764846000000-5f3a -a 192.0.2.11:8000\n",
            .addOptions = addSearchOptions,
            .run = runSearch},
};

} // namespace

} // namespace Detail

std::span<const Command> searchCommands()
{
    return Detail::commands;
}

} // namespace Galenawell

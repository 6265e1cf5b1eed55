#include "process/temporaryinstallation.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <csignal>
#include <set>
#include <thread>

using namespace Galenawell::Testing;

namespace {

constexpr std::size_t standinKeys = 1000;
constexpr std::size_t standinGroups = 10;

} // namespace

// Guards against answers that are partial, mix two snapshots, or count rows twice.
Test(path, a_search_returns_every_row_once_from_one_snapshot, .timeout = 120)
{
    TemporaryInstallation test("path");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    for (std::size_t index = 0; index < 3; ++index) {
        const HttpReply reply = installation.query(Installation::frontName(index), searchRequest("search-" + std::to_string(index)));
        cr_assert_eq(reply.status, 200U, "%s", reply.body.c_str());
        const nlohmann::json answer = reply.json();
        cr_assert_eq(answer.at("id").get<std::string>(), "search-" + std::to_string(index));
        cr_assert_eq(answer.at("coverage").at("total").get<std::size_t>(), standinGroups);
        cr_assert_eq(answer.at("coverage").at("answered").get<std::size_t>(), standinGroups);
        cr_assert_eq(answer.at("snapshot").at("version").get<std::size_t>(), 1U);
        std::set<std::string> keys;
        for (const nlohmann::json &row : answer.at("rows")) {
            keys.insert(row.at("key").get<std::string>());
        }
        cr_assert_eq(answer.at("rows").size(), standinKeys);
        cr_assert_eq(keys.size(), standinKeys);
    }
    nlohmann::json aggregate = searchRequest("aggregate");
    aggregate["body"] = {{"kind", "aggregate"}};
    const nlohmann::json aggregates = installation.query("front-1", aggregate).json().at("aggregates");
    cr_assert_eq(aggregates.at("count").get<std::size_t>(), standinKeys);
    const double meanTimesCount = aggregates.at("mean").get<double>() * static_cast<double>(standinKeys);
    cr_assert_float_eq(meanTimesCount, aggregates.at("sum").get<double>(), 0.5);
    cr_assert_not(aggregates.contains("partial"));
    const nlohmann::json entries
        = httpCall(HttpCall{.address = installation.callerAddress("front-1"), .target = "/v1/entries?dataCentre=b"}).json();
    cr_assert_eq(entries.at("entries").size(), 3U);
    cr_assert_eq(entries.at("entries").front().at("dataCentre").get<std::string>(), "b");
}

// Guards against invalid requests that are accepted, refused without a reason, or not counted.
Test(path, invalid_requests_are_refused_with_a_reason_and_counted, .timeout = 120)
{
    TemporaryInstallation test("refusals");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    const std::string address = installation.callerAddress("front-1");
    const HttpReply unknown = installation.query("front-1", {{"id", "a"}, {"service", "no-such-service"}});
    cr_assert_eq(unknown.status, 404U);
    cr_assert_eq(unknown.json().at("reason").get<std::string>(), "unknown_service");
    cr_assert_eq(unknown.json().at("execution").get<std::string>(), "not_run");
    const HttpReply truncated = httpCall(HttpCall{.address = address, .method = "POST", .target = "/v1/query", .body = "{\"id\": \"a"});
    cr_assert_eq(truncated.status, 400U);
    const HttpReply unknownField = installation.query("front-1", {{"id", "a"}, {"service", "drafting-desk"}, {"sevrice", "x"}});
    cr_assert_eq(unknownField.status, 400U);
    cr_assert(unknownField.json().at("detail").get<std::string>().find("/sevrice") != std::string::npos);
    const HttpReply large
        = httpCall(HttpCall{.address = address, .method = "POST", .target = "/v1/query", .body = std::string(2 * 1024 * 1024, 'x')});
    cr_assert(large.status == 413U || large.status == 0U);
    const HttpReply noToken = httpCall(HttpCall{.address = installation.operatorAddress("front-1"), .target = "/v1/admin/status"});
    cr_assert_eq(noToken.status, 401U);
    const std::string counted = R"(galenawell_refusals_total{instance="front-1",reason="unknown_service"})";
    cr_assert_eq(installation.metric("front-1", counted), 1);
    const std::string malformed = R"(galenawell_refusals_total{instance="front-1",reason="malformed_request"})";
    cr_assert_eq(installation.metric("front-1", malformed), 2);
}

// Guards against a query whose nesting takes the stack of the process.
Test(path, deeply_nested_queries_end_no_process, .timeout = 120)
{
    constexpr std::size_t depth = 250'000;
    TemporaryInstallation test("nesting");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    const std::string value = std::string(depth, '[') + std::string(depth, ']');
    for (const char *idempotent : {"true", "false"}) {
        const std::string query = R"({"id":"nested","service":"drafting-desk","idempotent":)" + std::string(idempotent)
            + R"(,"body":{"kind":"rows","prefix":)" + value + "}}";
        const HttpReply reply
            = httpCall(HttpCall{.address = installation.callerAddress("front-1"), .method = "POST", .target = "/v1/query", .body = query});
        cr_assert_eq(reply.status, 400U, "%u: %s", reply.status, reply.body.substr(0, 200).c_str());
    }
    cr_assert_eq(installation.query("front-1", searchRequest("after")).status, 200U);
}

// Guards against a graceful shutdown that drops requests in flight or doesn't report to callers whether their request ran.
Test(path, a_graceful_shutdown_of_a_front_drops_no_request, .timeout = 120)
{
    TemporaryInstallation test("shutdown");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    std::atomic<std::size_t> answered{0};
    std::atomic<std::size_t> refused{0};
    std::atomic<std::size_t> dropped{0};
    std::atomic<bool> ended{false};
    std::vector<std::jthread> callers;
    for (std::size_t caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&, caller] {
            for (std::size_t number = 0; number < 10'000; ++number) {
                const HttpReply reply = installation.query("front-2", searchRequest(std::to_string(caller) + "-" + std::to_string(number)));
                if (reply.status == 200) {
                    ++answered;
                } else if (reply.status == 503 && reply.json().at("execution") == "not_run") {
                    ++refused;
                    return;
                } else {
                    // A refused connection is correct once the process has exited.
                    dropped += ended ? 0 : 1;
                    return;
                }
            }
        });
    }
    cr_assert(waitFor([&] { return answered > 50; }));
    installation.sendSignal("front-2", SIGTERM);
    cr_assert(waitFor([&] {
        const nlohmann::json entries = httpCall(HttpCall{.address = installation.callerAddress("front-1"), .target = "/v1/entries"}).json();
        return entries.is_object() && entries.at("entries").size() == 2;
    }));
    const int status = installation.waitForExit("front-2", std::chrono::milliseconds(30000));
    ended = true;
    callers.clear();
    cr_assert_eq(status, 0);
    cr_assert_eq(dropped, 0U);
    cr_assert_eq(refused, 4U);
}

#include "process/temporaryinstallation.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <csignal>
#include <thread>

using namespace Galenawell::Testing;

namespace {

std::string newId(const std::string &suffix)
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    return std::to_string(now.time_since_epoch().count()) + "-" + suffix;
}

nlohmann::json fetchRequest(const std::string &id, const std::string &document)
{
    return {{"id", id}, {"service", "archive-shelf"}, {"idempotent", false}, {"body", {{"kind", "fetch"}, {"document", document}}}};
}

// Number of times that backend servers started the request.
std::size_t runsOf(const Installation &installation, const std::string &id)
{
    const HttpReply reply = httpCall(HttpCall{.address = installation.standinControlAddress(), .target = "/control/runs"});
    const nlohmann::json runsById = reply.json().at("runs");
    return runsById.contains(id) ? runsById.at(id).at("started").get<std::size_t>() : 0;
}

std::string executionOf(const HttpReply &reply)
{
    const nlohmann::json document = reply.json();
    return document.is_object() ? document.value("execution", std::string()) : std::string();
}

} // namespace

// Guards against a second run of a request that is resent through the same front or another.
Test(execution, a_resent_request_runs_once_and_gets_the_recorded_answer, .timeout = 120)
{
    TemporaryInstallation test("once");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    const std::string id = newId("annex");
    const HttpReply first = installation.query("front-1", fetchRequest(id, "annex-1"));
    cr_assert_eq(first.status, 200U, "%s", first.body.c_str());
    for (const char *front : {"front-1", "front-2", "front-3"}) {
        const HttpReply again = installation.query(front, fetchRequest(id, "annex-1"));
        cr_assert_eq(again.status, 200U);
        cr_assert(again.json().at("rows") == first.json().at("rows"));
    }
    cr_assert_eq(runsOf(installation, id), 1U);
    const HttpReply other = installation.query("front-1", fetchRequest(id, "annex-2"));
    cr_assert_eq(other.json().at("reason").get<std::string>(), "claim_content_differs");
    const HttpReply status = httpCall(HttpCall{.address = installation.callerAddress("front-2"), .target = "/v1/requests/" + id});
    cr_assert_eq(executionOf(status), "ran");
}

// Guards against second runs and false "not run" results while leaders and fronts are killed and callers resend.
Test(execution, no_request_runs_twice_while_processes_are_killed, .timeout = 240)
{
    TemporaryInstallation test("killed");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    constexpr std::size_t requests = 60;
    std::atomic<bool> stop{false};
    std::vector<std::string> ids(requests);
    std::vector<std::string> outcomes(requests);
    {
        std::jthread killerThread([&] {
            for (unsigned round = 0; round < 4 && !stop; ++round) {
                const std::string leader = installation.leader();
                if (!leader.empty()) {
                    installation.kill(leader);
                    std::this_thread::sleep_for(std::chrono::milliseconds(300));
                    installation.start(leader);
                }
                installation.kill("front-3");
                std::this_thread::sleep_for(std::chrono::milliseconds(300));
                installation.start("front-3");
                std::this_thread::sleep_for(std::chrono::milliseconds(1500));
            }
        });
        std::vector<std::jthread> callers;
        for (std::size_t caller = 0; caller < 4; ++caller) {
            callers.emplace_back([&, caller] {
                for (std::size_t index = caller; index < requests; index += 4) {
                    ids[index] = newId("request-" + std::to_string(index));
                    // Without a final outcome the caller resends the same id through another front.
                    for (unsigned attempt = 0; attempt < 20; ++attempt) {
                        const std::string front = Installation::frontName((index + 2 + attempt) % 3);
                        outcomes[index] = executionOf(installation.query(front, fetchRequest(ids[index], "document")));
                        if (outcomes[index] == "ran" || outcomes[index] == "not_run") {
                            break;
                        }
                        std::this_thread::sleep_for(std::chrono::milliseconds(200));
                    }
                }
            });
        }
        callers.clear();
        stop = true;
    }
    std::size_t ran = 0;
    for (std::size_t index = 0; index < requests; ++index) {
        const std::size_t count = runsOf(installation, ids[index]);
        cr_assert_leq(count, 1U, "%s ran %zu times", ids[index].c_str(), count);
        if (outcomes[index] == "not_run") {
            cr_assert_eq(count, 0U, "%s ran although it was reported as not run", ids[index].c_str());
        }
        if (outcomes[index] == "ran") {
            cr_assert_eq(count, 1U);
            ++ran;
        }
    }
    cr_assert_gt(ran, requests / 2);
}

// Guards against content that crashes one backend server after another, also under new ids and through other fronts.
Test(execution, content_that_crashes_servers_crashes_at_most_two, .timeout = 120)
{
    TemporaryInstallation test("crash");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    const HttpReply crashOnReply
        = installation.standinControl("crash-on", {{"text", "poison"}, {"downMs", 20000}, {"filter", {{"service", "archive-shelf"}}}});
    cr_assert_eq(crashOnReply.status, 200U, "%s", crashOnReply.body.c_str());
    for (std::size_t attempt = 0; attempt < 8; ++attempt) {
        nlohmann::json request = fetchRequest(newId("crash-" + std::to_string(attempt)), "poison");
        request["idempotent"] = attempt % 2 == 0;
        const HttpReply reply = installation.query(Installation::frontName(attempt % 3), request);
        cr_assert_neq(reply.status, 200U);
        cr_assert_neq(reply.status, 0U);
    }
    const nlohmann::json stats = httpCall(HttpCall{.address = installation.standinControlAddress(), .target = "/control/stats"}).json();
    cr_assert(stats.is_object());
    const auto crashes = stats.at("totals").at("crashes").get<std::size_t>();
    cr_assert_geq(crashes, 1U);
    cr_assert_leq(crashes, 2U, "%zu servers crashed", crashes);
    const HttpReply harmless = installation.query("front-1", fetchRequest(newId("innocent"), "document"));
    cr_assert_eq(harmless.status, 200U, "%s", harmless.body.c_str());
}

// Guards against new requests that any front sends to a server more than 2 s after it began to drain.
Test(execution, a_draining_server_gets_no_new_requests_after_two_seconds, .timeout = 120)
{
    TemporaryInstallation test("drain");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    const nlohmann::json filter{{"service", "drafting-desk"}, {"index", 0}};
    const HttpReply drained = installation.standinControl("drain", {{"filter", filter}});
    cr_assert_eq(drained.json().at("matched").get<std::size_t>(), 10U);
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    std::size_t answered = 0;
    while (std::chrono::steady_clock::now() < until) {
        const std::string front = Installation::frontName(answered % 3);
        const HttpReply reply = installation.query(front, searchRequest("drain-" + std::to_string(answered)));
        cr_assert_eq(reply.status, 200U, "%s", reply.body.c_str());
        cr_assert_eq(reply.json().at("rows").size(), 1000U);
        ++answered;
    }
    const nlohmann::json stats = httpCall(HttpCall{.address = installation.standinControlAddress(), .target = "/control/stats"}).json();
    cr_assert_eq(stats.at("totals").at("lateAfterDrain").get<std::size_t>(), 0U, "%s", stats.at("totals").dump().c_str());
}

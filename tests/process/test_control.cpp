#include "process/temporaryinstallation.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <csignal>
#include <thread>

using namespace Galenawell::Testing;

namespace {

nlohmann::json configurationWithKeep(std::uint64_t keepMs)
{
    nlohmann::json configuration = smallConfiguration();
    configuration["entry"]["keepMs"] = keepMs;
    return configuration;
}

// Resends a change until it is accepted, as an operator does who got no reply.
bool applyUntilAccepted(const Installation &installation, const std::string &front, std::uint64_t number, const nlohmann::json &content)
{
    return waitFor([&] { return installation.applyConfiguration(front, number, content).status == 200; });
}

std::uint64_t configurationNumberAt(const Installation &installation, const std::string &front)
{
    const nlohmann::json reply = installation.admin(front, "GET", "/v1/admin/config").json();
    return reply.is_object() ? reply.at("number").get<std::uint64_t>() : 0;
}

bool waitUntilEveryFrontHas(const Installation &installation, std::uint64_t number)
{
    return waitFor([&] {
        return configurationNumberAt(installation, "front-1") == number && configurationNumberAt(installation, "front-2") == number
            && configurationNumberAt(installation, "front-3") == number;
    });
}

bool answersSearch(const Installation &installation, const std::string &front)
{
    return installation.query(front, searchRequest("probe")).status == 200;
}

} // namespace

// Guards against two accepted changes with one number, and against a resent change that applies twice or gets another result.
Test(control, exactly_one_of_two_concurrent_changes_is_accepted_and_a_resend_gets_the_first_result, .timeout = 120)
{
    TemporaryInstallation test("race");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    for (std::uint64_t number = 2; number <= 6; ++number) {
        HttpReply first;
        HttpReply second;
        {
            std::jthread one([&] { first = installation.applyConfiguration("front-1", number, configurationWithKeep(2000 + number)); });
            std::jthread two([&] { second = installation.applyConfiguration("front-2", number, configurationWithKeep(3000 + number)); });
        }
        cr_assert_eq(first.status + second.status, 200U + 409U, "%u and %u", first.status, second.status);
        const nlohmann::json won = (first.status == 200 ? first : second).json();
        const nlohmann::json lost = (first.status == 200 ? second : first).json();
        cr_assert_eq(lost.at("verdict").get<std::string>(), "number_taken");
        cr_assert_eq(lost.at("acceptedDigest").get<std::string>(), won.at("digest").get<std::string>());
        const nlohmann::json winner = configurationWithKeep((first.status == 200 ? 2000 : 3000) + number);
        const HttpReply resent = installation.applyConfiguration("front-3", number, winner);
        cr_assert_eq(resent.status, 200U);
        cr_assert_eq(resent.json().at("verdict").get<std::string>(), "already_accepted");
    }
    // Resent after later changes were accepted.
    const HttpReply old = installation.applyConfiguration("front-1", 1, smallConfiguration());
    cr_assert_eq(old.json().at("verdict").get<std::string>(), "already_accepted");
    cr_assert(waitUntilEveryFrontHas(installation, 6));
}

// Guards against an accepted change that is lost with the leader, and against fronts that revert to an older configuration.
Test(control, accepted_changes_survive_repeated_kills_of_the_leader, .timeout = 180)
{
    TemporaryInstallation test("kills");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    for (std::uint64_t number = 2; number <= 7; ++number) {
        const std::string leader = installation.leader();
        std::jthread operatorThread(
            [&] { cr_assert(applyUntilAccepted(installation, "front-1", number, configurationWithKeep(1000 + number))); });
        installation.kill(leader);
        operatorThread.join();
        installation.start(leader);
        cr_assert_geq(configurationNumberAt(installation, "front-1"), number - 1);
        cr_assert(waitUntilEveryFrontHas(installation, number));
    }
    const nlohmann::json history = installation.admin("front-2", "GET", "/v1/admin/config/history").json();
    cr_assert_eq(history.at("newest").get<std::uint64_t>(), 7U);
    cr_assert_eq(history.at("entries").size(), 7U);
}

// Guards against a leader that answers with outdated state after it was suspended.
Test(control, a_suspended_leader_that_resumes_reverts_no_front, .timeout = 120)
{
    TemporaryInstallation test("frozen");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    const std::string leader = installation.leader();
    installation.sendSignal(leader, SIGSTOP);
    cr_assert(applyUntilAccepted(installation, "front-1", 2, configurationWithKeep(2222)));
    cr_assert(waitUntilEveryFrontHas(installation, 2));
    installation.sendSignal(leader, SIGCONT);
    for (unsigned check = 0; check < 50; ++check) {
        for (const char *front : {"front-1", "front-2", "front-3"}) {
            cr_assert_eq(configurationNumberAt(installation, front), 2U);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

// Guards against searches that fail without a control majority, and against changes that are accepted without one.
Test(control, searches_succeed_without_a_control_majority, .timeout = 120)
{
    TemporaryInstallation test("majority");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    cr_assert(waitUntilEveryFrontHas(installation, 1));
    installation.kill("control-1");
    installation.kill("control-2");
    // Longer than the confirmation limit of 3 s, so that only the fronts' own majority can confirm.
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(6);
    while (std::chrono::steady_clock::now() < until) {
        cr_assert(answersSearch(installation, "front-1"));
        cr_assert(answersSearch(installation, "front-3"));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    cr_assert_eq(installation.applyConfiguration("front-1", 2, configurationWithKeep(2222)).status, 503U);
    installation.start("control-1");
    cr_assert(applyUntilAccepted(installation, "front-1", 2, configurationWithKeep(2222)));
}

// Guards against a front that serves although it can't confirm that its configuration is the newest.
Test(control, a_front_without_control_processes_and_other_fronts_refuses_requests_as_not_run, .timeout = 120)
{
    TemporaryInstallation test("isolated");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    for (const char *control : {"control-1", "control-2", "control-3"}) {
        installation.kill(control);
    }
    installation.kill("front-2");
    installation.kill("front-3");
    cr_assert(waitFor([&] {
        const HttpReply reply = installation.query("front-1", searchRequest("isolated"));
        return reply.status == 503 && reply.json().at("reason") == "unconfirmed" && reply.json().at("execution") == "not_run";
    }));
    const nlohmann::json entries = httpCall(HttpCall{.address = installation.callerAddress("front-1"), .target = "/v1/entries"}).json();
    cr_assert_eq(entries.at("entries").size(), 0U);
}

// Guards against a member that votes after losing its disk, and against a repair that is reported complete too early.
Test(control, another_member_can_fail_after_the_repair_of_a_lost_disk, .timeout = 180)
{
    TemporaryInstallation test("repair");
    Installation &installation = test.installation;
    cr_assert(installation.waitUntilServing(smallConfiguration()));
    cr_assert(applyUntilAccepted(installation, "front-1", 2, configurationWithKeep(2222)));
    const auto members = [&] { return installation.admin("front-1", "GET", "/v1/admin/members").json().at("members"); };
    const nlohmann::json before = members();
    installation.kill("control-2");
    installation.deleteDataFolder("control-2");
    installation.start("control-2");
    cr_assert(waitFor([&] {
        const nlohmann::json now = members();
        bool replaced = now.size() == 3;
        for (const nlohmann::json &member : now) {
            for (const nlohmann::json &old : before) {
                const bool lostIdentity = member.at("instance") == "control-2" && member.at("id") == old.at("id");
                replaced = replaced && member.at("voter").get<bool>() && !lostIdentity;
            }
        }
        return replaced;
    }));
    installation.kill(installation.leader());
    cr_assert(applyUntilAccepted(installation, "front-1", 3, configurationWithKeep(3333)));
    cr_assert(waitUntilEveryFrontHas(installation, 3));
    const nlohmann::json history = installation.admin("front-1", "GET", "/v1/admin/config/history").json();
    cr_assert_eq(history.at("entries").size(), 3U);
}

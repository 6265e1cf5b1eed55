// End-to-end tests of the platform's nodes with real processes: configurations, routed requests, announcements, and losses
// of processes and disks. The test acts as callers, backend servers and operator.
#include "galenawell/core/randomsource.h"
#include "process/platform/platforminstallation.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <csignal>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

nlohmann::json configuration(std::uint64_t version, const std::vector<std::string> &shards, int timeoutMilliseconds = 2000)
{
    nlohmann::json document{{"version", version}, {"routes", nlohmann::json::array()}, {"services", nlohmann::json::array()}};
    document["routes"].push_back({{"name", "wide"},
                                  {"host", "h.example"},
                                  {"path_prefix", "/wide/"},
                                  {"kind", "safe"},
                                  {"timeout_ms", timeoutMilliseconds},
                                  {"target_latency_ms", 1000},
                                  {"priority", 0},
                                  {"fanout_services", shards},
                                  {"max_attempts", 2},
                                  {"result_limit", 10},
                                  {"minimum_success_share", 0.5}});
    document["routes"].push_back({{"name", "one"},
                                  {"host", "h.example"},
                                  {"path_prefix", "/one/"},
                                  {"kind", "unsafe"},
                                  {"timeout_ms", 4000},
                                  {"service", "archive"},
                                  {"max_attempts", 2}});
    for (const std::string &shard : shards) {
        document["services"].push_back({{"name", shard}, {"connection_limit", 40}});
    }
    document["services"].push_back({{"name", "archive"}, {"connection_limit", 40}});
    return document;
}

// Backend servers of two shards and an archive service, and a thread that sends their heartbeats.
class TestServers
{
public:
    explicit TestServers(const PlatformInstallation &platform)
        : installation(platform)
        , heartbeatThread([this](const std::stop_token &stop) { this->sendHeartbeats(stop); })
    {
    }

    ServerStandIn first{"s1", "i-first", "z1"};
    ServerStandIn second{"s2", "i-second", "z2"};
    ServerStandIn archive{"archive", "i-archive", "z1"};
    std::atomic<bool> archiveDrains{false};

private:
    void sendHeartbeats(const std::stop_token &stop) const
    {
        auto *self = const_cast<TestServers *>(this);
        while (!stop.stop_requested()) {
            self->installation.announce(self->first, "ready");
            self->installation.announce(self->second, "ready");
            self->installation.announce(self->archive, this->archiveDrains ? "draining" : "ready");
            std::this_thread::sleep_for(250ms);
        }
    }

    const PlatformInstallation &installation;
    std::jthread heartbeatThread;
};

Reply sendRequest(const PlatformInstallation &installation, const std::string &front, const std::string &target, const std::string &id)
{
    const bool atMostOnce = target.starts_with("/one/");
    return call({.address = installation.callerAddress(front),
                 .method = atMostOnce ? "POST" : "GET",
                 .target = target,
                 .headers = {{"Host", "h.example"}, {"Attempt-Id", id}, {"Time-Remaining", "2000"}},
                 .body = atMostOnce ? "content" : ""});
}

bool answersCompletely(const PlatformInstallation &installation, const std::string &front)
{
    const Reply reply = sendRequest(installation, front, "/wide/x", "probe");
    return reply.status == 200 && reply.header("Missing-Parts") == "0"
        && sendRequest(installation, front, "/one/x", "probe1").status == 200;
}

bool allFrontsServe(const PlatformInstallation &installation)
{
    const std::vector<std::string> names = installation.frontNames();
    return std::ranges::all_of(names, [&](const std::string &front) { return answersCompletely(installation, front); });
}

const std::vector<std::string> twoShards{"s1", "s2"};

} // namespace

// Guards against faults on the path of a request, a heartbeat, or a configuration.
Test(platform, requests_announcements_and_configurations_work_end_to_end)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    cr_assert(waitUntil([&] { return sendRequest(installation, "front1", "/wide/x", "early").status == 503; }));
    cr_assert(call({.address = installation.readinessAddress("front1"), .target = "/v1/readiness"}).status == 503);
    TestServers servers(installation);
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));

    const Reply wide = sendRequest(installation, "front1", "/wide/x", "w1");
    cr_assert(wide.status == 200 && wide.header("Missing-Parts") == "0");
    cr_assert(wide.header("Part-Stamps") == "i-first.w1, i-second.w1");
    cr_assert(wide.body == "i-second........i-first.........");
    const Reply one = sendRequest(installation, "front2", "/one/x", "o1");
    cr_assert(one.status == 200 && one.header("Server-Stamp") == "i-archive.o1" && one.header("Attempt-Id") == "o1");
    cr_assert(servers.archive.runsOf("o1") == 1);
    cr_assert(sendRequest(installation, "front1", "/none/x", "n1").status == 404);

    const Reply entries = call({.address = installation.directoryAddress("control2"), .target = "/v1/resolve?name=h.example&zone=z1"});
    cr_assert(entries.status == 200 && nlohmann::json::parse(entries.body).at("addrs").size() == 2);
    cr_assert(call({.address = installation.readinessAddress("front1"), .target = "/v1/readiness"}).status == 200);
}

// Guards against a lower version or an invalid document that takes effect, and against a read that differs from what was put.
Test(platform, the_highest_version_of_the_configuration_takes_effect_and_is_read_back_unchanged)
{
    PlatformInstallation installation(3, 1);
    installation.startAll();
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(installation.putUntilAcknowledged(configuration(20, twoShards, 1500)));
    cr_assert(installation.putConfiguration("control1", configuration(9, twoShards)).status == 200);
    cr_assert(installation.putConfiguration("control2", configuration(20, twoShards)).status == 200);
    nlohmann::json invalid = configuration(30, twoShards);
    invalid["routes"][0]["timeout_ms"] = 0;
    cr_assert(installation.putConfiguration("control3", invalid).status == 400);
    for (const std::string &control : installation.controlNames()) {
        const Reply read = installation.getConfiguration(control);
        cr_assert(read.status == 200 && read.body == configuration(20, twoShards, 1500).dump());
    }
}

// Guards against the loss of the leader interrupting requests or changes, and against a restarted member with an old state.
Test(platform, a_killed_leader_interrupts_neither_requests_nor_changes)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    TestServers servers(installation);
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    const std::string leader = installation.leader();
    cr_assert(!leader.empty());
    cr_assert(installation.stop(leader, SIGKILL));
    cr_assert(allFrontsServe(installation));
    cr_assert(installation.putUntilAcknowledged(configuration(8, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    installation.start(leader);
    cr_assert(waitUntil([&] { return installation.getConfiguration(leader).body == configuration(8, twoShards).dump(); }));
}

// Guards against a member that votes after losing its disk, and against a group that doesn't tolerate another loss afterwards.
Test(platform, a_member_that_lost_its_disk_rejoins_and_another_loss_is_tolerated)
{
    PlatformInstallation installation(3, 1);
    installation.startAll();
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    installation.setFoundInstallation(false);
    cr_assert(installation.stop("control3", SIGKILL));
    installation.deleteDataFolder("control3");
    installation.start("control3");
    cr_assert(installation.putUntilAcknowledged(configuration(8, twoShards)));
    cr_assert(waitUntil([&] { return installation.getConfiguration("control3").status == 200; }));
    std::this_thread::sleep_for(4s);
    cr_assert(installation.stop("control1", SIGKILL));
    cr_assert(installation.putUntilAcknowledged(configuration(9, twoShards)));
    cr_assert(waitUntil([&] { return installation.getConfiguration("control3").body == configuration(9, twoShards).dump(); }));
}

// Guards against a lost control process that stays a voter after another instance has replaced it.
Test(platform, a_spare_control_process_replaces_a_lost_one)
{
    PlatformInstallation installation(4, 1);
    installation.startAll();
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    std::this_thread::sleep_for(1s);
    cr_assert(installation.stop("control2", SIGKILL));
    cr_assert(installation.putUntilAcknowledged(configuration(8, twoShards)));
    std::this_thread::sleep_for(5s);
    cr_assert(installation.stop("control3", SIGKILL));
    cr_assert(installation.putUntilAcknowledged(configuration(9, twoShards)));
    cr_assert(waitUntil([&] { return installation.getConfiguration("control4").body == configuration(9, twoShards).dump(); }));
}

// Guards against a slow recovery from the loss of all processes, and against the loss of an acknowledged change.
Test(platform, restarting_all_processes_restores_service_and_acknowledged_changes)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    TestServers servers(installation);
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    std::this_thread::sleep_for(1s);
    cr_assert(installation.putUntilAcknowledged(configuration(8, twoShards)));
    for (const std::string &name : installation.controlNames()) {
        cr_assert(installation.stop(name, SIGKILL));
    }
    for (const std::string &name : installation.frontNames()) {
        cr_assert(installation.stop(name, SIGKILL));
    }
    installation.setFoundInstallation(false);
    installation.startAll();
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    cr_assert(waitUntil([&] { return installation.getConfiguration("control1").body == configuration(8, twoShards).dump(); }));
}

// Guards against fronts that stop serving while no control process can be reached.
Test(platform, fronts_serve_without_any_control_process)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    TestServers servers(installation);
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    for (const std::string &name : installation.controlNames()) {
        cr_assert(installation.stop(name, SIGKILL));
    }
    std::this_thread::sleep_for(5s);
    cr_assert(allFrontsServe(installation));
}

// Guards against new requests to a server that announced that it drains.
Test(platform, a_draining_server_gets_no_new_requests)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    TestServers servers(installation);
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    servers.archiveDrains = true;
    cr_assert(installation.announce(servers.archive, "draining"));
    std::this_thread::sleep_for(2s);
    const std::size_t before = servers.archive.runs();
    for (int index = 0; index < 20; ++index) {
        cr_assert(sendRequest(installation, "front" + std::to_string(1 + index % 2), "/one/x", "d" + std::to_string(index)).status == 503);
    }
    cr_assert(servers.archive.runs() == before);
}

// Guards against requests dropped by a graceful shutdown, and against a shutdown that exceeds its time limit.
Test(platform, a_stopping_front_is_removed_from_the_directory_and_drops_no_request)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    TestServers servers(installation);
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    servers.first.setServiceTime(200ms);
    std::atomic<int> answered{0};
    std::atomic<int> dropped{0};
    std::jthread callers([&](const std::stop_token &stop) {
        for (int index = 0; !stop.stop_requested(); ++index) {
            const Reply reply = sendRequest(installation, "front1", "/wide/x", "c" + std::to_string(index));
            answered += reply.status == 200 ? 1 : 0;
            // Connections may be refused, but a request that was read must be answered.
            dropped += reply.status != 200 && reply.status != 0 ? 1 : 0;
        }
    });
    cr_assert(waitUntil([&] { return answered > 3; }));
    std::jthread stopper([&] { cr_assert(installation.stop("front1", SIGTERM, 6500ms)); });
    cr_assert(waitUntil([&] {
        const Reply entries = call({.address = installation.directoryAddress("control1"), .target = "/v1/resolve?zone=z1"});
        return entries.status == 200 && entries.body.find(installation.callerAddress("front1")) == std::string::npos;
    }));
    cr_assert(call({.address = installation.readinessAddress("front1"), .target = "/v1/readiness"}).status != 200);
    stopper.join();
    callers.request_stop();
    callers.join();
    cr_assert(dropped == 0, "%d", dropped.load());
}

// Guards against work that continues after the caller has disconnected.
Test(platform, work_is_cancelled_when_the_caller_disconnects)
{
    PlatformInstallation installation(3, 1);
    installation.startAll();
    TestServers servers(installation);
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    servers.first.setServiceTime(1500ms);
    const Reply none = call({.address = installation.callerAddress("front1"),
                             .target = "/wide/x",
                             .headers = {{"Host", "h.example"}, {"Attempt-Id", "gone"}, {"Time-Remaining", "2000"}},
                             .timeout = 200ms});
    cr_assert(none.status == 0);
    cr_assert(waitUntil([&] { return servers.first.abandoned() > 0; }, 1000ms));
}

// Guards against new requests to a server that has left. It may send heartbeats until it has shut down, for longer than a
// lease, and to other control processes.
Test(platform, a_server_that_left_is_not_restored_by_its_heartbeats)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    TestServers servers(installation);
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    const Reply left = call(
        {.address = installation.controlAddress("control2"), .method = "DELETE", .target = "/v1/instances/" + servers.archive.identity()});
    cr_assert(left.status == 200);
    std::this_thread::sleep_for(1s);
    const std::size_t before = servers.archive.runs();
    for (int index = 0; index < 25; ++index) {
        cr_assert(sendRequest(installation, "front" + std::to_string(1 + index % 2), "/one/x", "l" + std::to_string(index)).status == 503);
        std::this_thread::sleep_for(200ms);
    }
    cr_assert(servers.archive.runs() == before);
}

// Guards against a leave that is acknowledged by a control process that has no record of the server, and therefore isn't
// propagated, while fronts continue to use the server.
Test(platform, a_leave_that_cannot_be_propagated_is_not_acknowledged)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    TestServers servers(installation);
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    // Isolated from the other two, the third can't learn of a new server.
    installation.sendSignal("control1", SIGSTOP);
    installation.sendSignal("control2", SIGSTOP);
    std::this_thread::sleep_for(2500ms);
    const Call leave{.address = installation.controlAddress("control3"), .method = "DELETE", .target = "/v1/instances/i-unheard"};
    cr_assert_eq(call(leave).status, 503);
    installation.sendSignal("control1", SIGCONT);
    installation.sendSignal("control2", SIGCONT);
    // All three confirm that there is no record of the server, so there is nothing to propagate.
    cr_assert(waitUntil([&] { return call(leave).status == 200; }));
}

// Guards against one odd announcement among good ones that ends a process or keeps it from following the others.
Test(platform, odd_announcements_are_refused_and_change_nothing_else)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    TestServers servers(installation);
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    const std::string head = R"({"service":"s1","zone":"z1","version":"v1","slots":1,"state":"ready","warmup_remaining_ms":0,)";
    const std::vector<std::string> bodies{
        std::string(100'000, '['),
        std::string(100'000, '[') + std::string(100'000, ']'),
        head + R"("address":"10.0.0.1:0","sequence":1})",
        head + R"("address":"10.0.0.1:65536","sequence":1})",
        head + R"("address":"10.0.0.1:99999","sequence":1})",
        head + R"("address":"10.0.0.1:80","sequence":18446744073709551616})",
        head + R"("address":"10.0.0.1:80","sequence":1e999})",
        head + R"("address":"10.0.0.1:80","sequence":-1})",
        head + R"("address":"10.0.0.1:80","sequence":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}",
        head + R"("address":")" + std::string(200'000, '9') + R"(","sequence":1})",
    };
    for (const std::string &control : installation.controlNames()) {
        for (const std::string &body : bodies) {
            const Reply reply
                = call({.address = installation.controlAddress(control), .method = "PUT", .target = "/v1/instances/i-odd", .body = body});
            cr_assert_eq(reply.status, 400);
            cr_assert_lt(reply.body.size(), 1000);
        }
    }
    cr_assert(!installation.hasUnexpectedExit());
    cr_assert(allFrontsServe(installation));
    // Changes after the odd announcements are still followed.
    servers.archiveDrains = true;
    cr_assert(waitUntil([&] {
        return std::ranges::all_of(installation.frontNames(), [&](const std::string &front) {
            return sendRequest(installation, front, "/one/x", "after").status == 503;
        });
    }));
}

// Guards against requests to a server that says in its answers that it leaves, while its heartbeats still say that it is ready.
Test(platform, a_server_that_answers_that_it_leaves_gets_no_new_requests)
{
    PlatformInstallation installation(3, 1);
    installation.startAll();
    TestServers servers(installation);
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    servers.archive.setLeaving();
    servers.second.setLeaving();
    cr_assert(sendRequest(installation, "front1", "/one/x", "last").status == 200);
    cr_assert(sendRequest(installation, "front1", "/wide/x", "lastwide").status == 200);
    const std::size_t archiveBefore = servers.archive.arrivals();
    const std::size_t secondBefore = servers.second.arrivals();
    for (int index = 0; index < 20; ++index) {
        const std::string id = std::to_string(index);
        cr_assert(sendRequest(installation, "front1", "/one/x", "l" + id).status == 503);
        const Reply wide = sendRequest(installation, "front1", "/wide/x", "w" + id);
        cr_assert(wide.status == 200 && wide.header("Missing-Parts") == "1");
        std::this_thread::sleep_for(100ms);
    }
    cr_assert(servers.archive.arrivals() == archiveBefore);
    cr_assert(servers.second.arrivals() == secondBefore);
}

// Guards against requests to a server in the pause that it asked for, and against callers that wait for it.
Test(platform, a_server_that_asks_for_a_pause_gets_no_requests_until_it_ends)
{
    PlatformInstallation installation(3, 1);
    installation.startAll();
    TestServers servers(installation);
    nlohmann::json document = configuration(7, twoShards);
    document["routes"][1]["target_latency_ms"] = 300;
    cr_assert(installation.putUntilAcknowledged(document));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    const std::size_t before = servers.archive.arrivals();
    servers.archive.refuseWithPause("2.5");
    const auto askedAt = std::chrono::steady_clock::now();
    cr_assert(sendRequest(installation, "front1", "/one/x", "first").status == 503);
    const std::size_t refused = servers.archive.arrivals();
    cr_assert(refused > before && refused <= before + 2);
    for (int index = 0; std::chrono::steady_clock::now() < askedAt + 2000ms; ++index) {
        const auto sentAt = std::chrono::steady_clock::now();
        const Reply reply = sendRequest(installation, "front1", "/one/x", "p" + std::to_string(index));
        if (std::chrono::steady_clock::now() < askedAt + 2000ms) {
            cr_assert(reply.status == 503 && std::stod(reply.header("Retry-After")) > 0.2);
            cr_assert(std::chrono::steady_clock::now() - sentAt < 1s);
        }
        std::this_thread::sleep_for(50ms);
    }
    if (std::chrono::steady_clock::now() < askedAt + 2500ms) {
        cr_assert(servers.archive.arrivals() == refused);
    }
    servers.archive.refuseWithPause("");
    cr_assert(waitUntil([&] { return sendRequest(installation, "front1", "/one/x", "after").status == 200; }, 5000ms));
}

// Guards against faulty servers whose replies never end taking the memory of a front, and with it the requests of other callers.
Test(platform, endless_replies_of_many_servers_leave_other_callers_served)
{
    constexpr std::size_t serverCount = 20;
    constexpr int callerCount = 100;
    // The memory of an instance of the platform.
    constexpr std::size_t memoryLimit = std::size_t(260) * 1000 * 1000;
    PlatformInstallation installation(3, 1);
    installation.startAll();
    TestServers servers(installation);
    std::vector<std::unique_ptr<EndlessServer>> endless;
    std::vector<std::unique_ptr<ServerStandIn>> announced;
    const std::vector<std::string> heads{
        "", "HTTP/1.1 200 OK\r\nX-Header: ", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n"};
    for (std::size_t index = 0; index < serverCount; ++index) {
        endless.push_back(std::make_unique<EndlessServer>(heads[index % heads.size()]));
        announced.push_back(std::make_unique<ServerStandIn>("endless", "i-endless" + std::to_string(index), "z1"));
        announced.back()->setAnnouncedAddress(endless.back()->address());
    }
    nlohmann::json document = configuration(7, twoShards, 4000);
    document["services"].push_back({{"name", "endless"}, {"connection_limit", 1000}});
    nlohmann::json route = document["routes"][1];
    route["name"] = "endless";
    route["path_prefix"] = "/endless/";
    route["kind"] = "safe";
    route["service"] = "endless";
    document["routes"].push_back(route);
    cr_assert(installation.putUntilAcknowledged(document));
    cr_assert(waitUntil([&] {
        return std::ranges::all_of(announced, [&](const auto &server) { return installation.announce(*server, "ready"); })
            && allFrontsServe(installation);
    }));
    // An announcement reaches the front a moment after it is acknowledged; requests before that are refused at once.
    cr_assert(waitUntil([&] { return installation.metric("front1", "galenawell_backend_servers") >= serverCount + 3; }));
    std::atomic<int> answered{0};
    std::vector<std::jthread> callers;
    for (int index = 0; index < callerCount; ++index) {
        callers.emplace_back([&, index] {
            answered += sendRequest(installation, "front1", "/endless/x", "e" + std::to_string(index)).status == 200 ? 1 : 0;
        });
    }
    for (int index = 0; index < 20; ++index) {
        const std::string id = std::to_string(index);
        cr_assert(sendRequest(installation, "front1", "/wide/x", "w" + id).status == 200);
        cr_assert(sendRequest(installation, "front1", "/one/x", "o" + id).status == 200);
    }
    callers.clear();
    std::size_t reached = 0;
    for (const auto &server : endless) {
        reached += server->accepted() > 0 ? 1 : 0;
    }
    cr_assert_gt(reached, serverCount / 2);
    cr_assert_eq(answered.load(), 0);
    cr_assert(!installation.hasUnexpectedExit());
    const std::size_t peak = installation.peakMemoryBytes("front1");
    cr_assert(peak > 0 && peak < memoryLimit, "%zu bytes", peak);
}

// Guards against a status that no server may send, passed on to the caller as the server's answer.
Test(platform, an_answer_without_a_valid_status_is_not_passed_on)
{
    PlatformInstallation installation(3, 1);
    installation.startAll();
    TestServers servers(installation);
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    for (const unsigned status : {0U, 1U, 99U, 101U, 600U, 999U}) {
        servers.archive.setStatus(status);
        const std::string id = "status" + std::to_string(status);
        const Reply reply = sendRequest(installation, "front1", "/one/x", id);
        cr_assert_eq(reply.status, 502, "%u gave %u", status, reply.status);
        cr_assert(reply.header("Server-Stamp").empty() && reply.body.find("i-archive") == std::string::npos);
        cr_assert_eq(servers.archive.runsOf(id), 1);
    }
    servers.archive.setStatus(404);
    cr_assert_eq(sendRequest(installation, "front1", "/one/x", "after").status, 404);
}

// Guards against a split of requests that is decided with the weights of an older configuration.
Test(platform, a_service_whose_weight_falls_to_zero_gets_no_more_requests)
{
    PlatformInstallation installation(3, 1);
    installation.startAll();
    TestServers servers(installation);
    ServerStandIn other("other", "i-other", "z1");
    std::uint64_t version = 10;
    const auto apply = [&](int archiveWeight, int otherWeight) {
        nlohmann::json document = configuration(++version, twoShards);
        document["services"].push_back({{"name", "other"}, {"connection_limit", 40}});
        nlohmann::json split = document["routes"][1];
        split.erase("service");
        split["name"] = "split";
        split["path_prefix"] = "/split/";
        split["traffic_split"] = {{{"service", "archive"}, {"weight", archiveWeight}}, {{"service", "other"}, {"weight", otherWeight}}};
        document["routes"].push_back(split);
        nlohmann::json marker = document["routes"][1];
        const std::string markerPath = "/one/version" + std::to_string(version) + "/";
        marker["name"] = "marker";
        marker["path_prefix"] = markerPath;
        marker["kind"] = "safe";
        marker["service"] = "other";
        document["routes"].push_back(marker);
        const std::size_t before = other.runs();
        return installation.putUntilAcknowledged(document) && waitUntil([&] {
                   installation.announce(other, "ready");
                   sendRequest(installation, "front1", markerPath, "marker");
                   return other.runs() > before;
               });
    };
    const auto sendSplitRequest = [&](const std::string &id) { return sendRequest(installation, "front1", "/split/x", id).status; };
    for (int requests = 1; requests <= 4; ++requests) {
        cr_assert(apply(100, 300));
        for (int index = 0; index < requests; ++index) {
            cr_assert(sendSplitRequest("m" + std::to_string(index)) == 200);
        }
        cr_assert(apply(0, 1));
        const std::size_t before = servers.archive.runs();
        for (int index = 0; index < 5; ++index) {
            cr_assert(sendSplitRequest("a" + std::to_string(index)) == 200);
        }
        cr_assert(servers.archive.runs() == before);
    }
}

// Guards against requests that a stopping front passes on and then cuts without an answer, and against a front that is still
// there at the end of the grace period. Callers use open connections until the process is gone.
Test(platform, requests_late_in_the_grace_period_are_answered_or_refused_as_not_run)
{
    constexpr std::chrono::milliseconds gracePeriod{6000};
    constexpr int requestCount = 60;
    PlatformInstallation installation(3, 2);
    installation.startAll();
    TestServers servers(installation);
    nlohmann::json document = configuration(7, twoShards, 4000);
    for (nlohmann::json &service : document["services"]) {
        service["connection_limit"] = 1000;
    }
    cr_assert(installation.putUntilAcknowledged(document));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    servers.archive.setServiceTime(2500ms);
    servers.first.setServiceTime(2500ms);
    std::vector<std::unique_ptr<KeptConnection>> connections;
    for (int index = 0; index < 2 * requestCount; ++index) {
        connections.push_back(std::make_unique<KeptConnection>(installation.callerAddress("front1")));
    }
    const auto stoppedAt = std::chrono::steady_clock::now();
    installation.sendSignal("front1", SIGTERM);
    std::vector<Reply> replies(connections.size());
    std::vector<std::jthread> callers;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        callers.emplace_back([&, index] {
            std::this_thread::sleep_until(stoppedAt + gracePeriod * static_cast<int>(index / 2) / requestCount);
            const bool atMostOnce = index % 2 == 0;
            replies[index] = connections[index]->call(
                {.method = atMostOnce ? "POST" : "GET",
                 .target = atMostOnce ? "/one/x" : "/wide/x",
                 .headers = {{"Host", "h.example"}, {"Attempt-Id", "g" + std::to_string(index)}, {"Time-Remaining", "4000"}},
                 .body = atMostOnce ? "content" : "",
                 .timeout = 8000ms});
        });
    }
    const auto sinceSignal = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - stoppedAt);
    // Signal 0 only waits for the process to end.
    cr_assert(installation.stop("front1", 0, gracePeriod - sinceSignal));
    callers.clear();
    std::size_t answered = 0;
    std::size_t refused = 0;
    for (std::size_t index = 0; index < replies.size(); ++index) {
        const std::string id = "g" + std::to_string(index);
        const ServerStandIn &server = index % 2 == 0 ? servers.archive : servers.first;
        const unsigned status = replies[index].status;
        cr_assert(status != 0 || server.runsOf(id) == 0, "request %zu was passed on and got no answer", index);
        cr_assert(status != 503 || index % 2 == 1 || server.runsOf(id) == 0, "request %zu was called not run", index);
        answered += status == 200 ? 1 : 0;
        refused += status == 503 ? 1 : 0;
    }
    cr_assert_gt(answered, 10);
    cr_assert_gt(refused, 10);
}

// Guards against a request that crashes the servers that run it and is sent on to a second one whenever it comes again, at any
// front.
Test(platform, a_request_that_has_crashed_servers_gets_no_second_one)
{
    constexpr std::size_t serverCount = 6;
    constexpr std::size_t crashesBeforeLimit = 3;
    constexpr std::size_t allowedLateRetries = 3;
    // In which all fronts must know it.
    constexpr auto contactTime = 4000ms;
    PlatformInstallation installation(3, 2);
    installation.startAll();
    TestServers servers(installation);
    std::mutex mutex;
    std::vector<std::string> crashed;
    std::optional<std::chrono::steady_clock::time_point> limitAt;
    std::size_t lateRetries = 0;
    const auto onCrash = [&](const std::string &id) {
        const std::lock_guard lock(mutex);
        const auto now = std::chrono::steady_clock::now();
        const bool retry = std::ranges::find(crashed, id) != crashed.end();
        lateRetries += retry && limitAt && now > *limitAt ? 1 : 0;
        crashed.push_back(id);
        if (crashed.size() == crashesBeforeLimit) {
            limitAt = now + contactTime;
        }
    };
    std::vector<std::unique_ptr<CrashingServer>> crashing;
    for (std::size_t index = 0; index < serverCount; ++index) {
        crashing.push_back(std::make_unique<CrashingServer>(onCrash));
    }
    // Each ended server is back after some time.
    std::jthread supervisor([&](const std::stop_token &stop) {
        for (std::uint64_t sequence = 1; !stop.stop_requested(); ++sequence) {
            for (std::size_t index = 0; index < serverCount; ++index) {
                CrashingServer &server = *crashing[index];
                if (!server.running() && sequence % 4 == index % 4) {
                    server.start();
                }
                if (server.running()) {
                    const nlohmann::json heartbeat{{"service", "fragile"},
                                                   {"address", server.address()},
                                                   {"zone", "z1"},
                                                   {"slots", 4},
                                                   {"state", "ready"},
                                                   {"sequence", sequence},
                                                   {"born", server.born()}};
                    installation.announce("i-fragile" + std::to_string(index), heartbeat.dump());
                }
            }
            std::this_thread::sleep_for(250ms);
        }
    });
    nlohmann::json document = configuration(7, twoShards);
    document["services"].push_back({{"name", "fragile"}, {"connection_limit", 100}});
    nlohmann::json route = document["routes"][1];
    route["name"] = "fragile";
    route["path_prefix"] = "/fragile/";
    route["kind"] = "safe";
    route["service"] = "fragile";
    document["routes"].push_back(route);
    cr_assert(installation.putUntilAcknowledged(document));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    // Earns the budget of retries.
    std::jthread other([&](const std::stop_token &stop) {
        for (int index = 0; !stop.stop_requested(); ++index) {
            sendRequest(installation, index % 2 == 0 ? "front1" : "front2", "/wide/x", "other" + std::to_string(index));
        }
    });
    for (int index = 0; index < 30; ++index) {
        sendRequest(installation, index % 2 == 0 ? "front1" : "front2", "/fragile/crash", "c" + std::to_string(index));
        std::this_thread::sleep_for(400ms);
    }
    other = {};
    supervisor = {};
    const std::lock_guard lock(mutex);
    cr_assert_gt(crashed.size(), 10U);
    cr_assert_leq(lateRetries, allowedLateRetries, "%zu of %zu crashes were late retries", lateRetries, crashed.size());
    cr_assert(!installation.hasUnexpectedExit());
}

// Guards against a control process that was down while servers left, and announces them again from its recovery file.
Test(platform, servers_that_left_while_a_control_process_was_down_stay_away_when_it_returns)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    TestServers servers(installation);
    ServerStandIn leaving("archive", "i-leaving", "z1");
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    const auto sendToArchive = [&](const std::string &id) {
        for (const std::string &front : installation.frontNames()) {
            for (int index = 0; index < 10; ++index) {
                sendRequest(installation, front, "/one/x", id + front + std::to_string(index));
            }
        }
    };
    cr_assert(waitUntil([&] {
        installation.announce(leaving, "ready");
        sendToArchive("before");
        return leaving.runs() > 0;
    }));
    // The recovery file is written a moment after a change.
    std::this_thread::sleep_for(1000ms);
    installation.announce(leaving, "ready");
    cr_assert(installation.stop("control1", SIGKILL));
    const Call leave{.address = installation.controlAddress("control2"), .method = "DELETE", .target = "/v1/instances/i-leaving"};
    cr_assert(waitUntil([&] { return call(leave).status == 200; }));
    // Longer than a lease, after which the acknowledging process drops the server's record.
    std::this_thread::sleep_for(3000ms);
    const std::size_t before = leaving.arrivals();
    installation.setFoundInstallation(false);
    installation.start("control1");
    const auto end = std::chrono::steady_clock::now() + 5s;
    for (int round = 0; std::chrono::steady_clock::now() < end; ++round) {
        sendToArchive("after" + std::to_string(round));
    }
    cr_assert_eq(leaving.arrivals(), before);
    cr_assert(!installation.hasUnexpectedExit());
}

// Guards against a configuration whose lists are of another type, which is acknowledged and answers every request with 404.
Test(platform, a_configuration_with_null_lists_is_refused_and_changes_nothing)
{
    PlatformInstallation installation(3, 1);
    installation.startAll();
    TestServers servers(installation);
    const nlohmann::json valid = configuration(7, twoShards);
    cr_assert(installation.putUntilAcknowledged(valid));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    for (const char *field : {"routes", "services", "limits"}) {
        nlohmann::json invalid = configuration(8, twoShards);
        invalid[field] = nullptr;
        const Reply refused = installation.putConfiguration("control1", invalid);
        cr_assert(refused.status == 400 && refused.body.find(field) != std::string::npos, "%u %s", refused.status, refused.body.c_str());
    }
    cr_assert(installation.getConfiguration("control2").body == valid.dump());
    cr_assert(allFrontsServe(installation));
}

// Guards against another writer whose entries, sent again and again with random services, identities and start times for the
// addresses of living servers, keep these from being used.
Test(platform, entries_of_another_writer_leave_service_as_it_is)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    TestServers servers(installation);
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation); }));
    std::jthread writer([&](const std::stop_token &stop) {
        const std::vector<std::string> addresses{
            servers.first.listenAddress(), servers.second.listenAddress(), servers.archive.listenAddress()};
        RandomSource random(20261206);
        for (std::uint64_t sequence = 1; !stop.stop_requested(); ++sequence) {
            const nlohmann::json entry{{"service", "stray" + std::to_string(random.below(20))},
                                       {"address", addresses[random.below(addresses.size())]},
                                       {"zone", "z1"},
                                       {"slots", 1},
                                       {"state", random.below(2) == 0 ? "ready" : "draining"},
                                       {"sequence", sequence},
                                       {"born", random.next() >> 2U}};
            installation.announce(random.below(2) == 0 ? "i-stray" + std::to_string(random.below(1000)) : "i-first", entry.dump());
        }
    });
    const auto end = std::chrono::steady_clock::now() + 8s;
    for (int index = 0; std::chrono::steady_clock::now() < end; ++index) {
        const std::string front = index % 2 == 0 ? "front1" : "front2";
        const Reply wide = sendRequest(installation, front, "/wide/x", "w" + std::to_string(index));
        cr_assert(wide.status == 200 && wide.header("Missing-Parts") == "0", "request %d got %u", index, wide.status);
        cr_assert(sendRequest(installation, front, "/one/x", "o" + std::to_string(index)).status == 200);
    }
    writer = {};
    cr_assert(!installation.hasUnexpectedExit());
}

// Guards against fronts that together send a server more than the limit that it states, beside restarts of some of them.
Test(platform, fronts_together_keep_to_the_limit_that_a_server_states)
{
    constexpr double limit = 6;
    constexpr auto window = 4s;
    PlatformInstallation installation(3, 4);
    installation.startAll();
    TestServers servers(installation);
    ServerStandIn spare("s1", "i-spare", "z3");
    const std::jthread spareHeartbeats([&](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            installation.announce(spare, "ready");
            std::this_thread::sleep_for(250ms);
        }
    });
    cr_assert(installation.putUntilAcknowledged(configuration(7, twoShards)));
    cr_assert(waitUntil([&] { return allFrontsServe(installation) && spare.arrivals() > 0; }));

    servers.first.setLimit(std::to_string(limit));
    const auto namedAt = std::chrono::steady_clock::now();
    std::atomic<std::size_t> unanswered{0};
    const std::vector<std::string> fronts = installation.frontNames();
    std::vector<std::jthread> callers;
    for (const std::string &front : fronts) {
        callers.emplace_back([&installation, &unanswered, front](const std::stop_token &stop) {
            const bool restarts = front == "front1" || front == "front2";
            for (int index = 0; !stop.stop_requested(); ++index) {
                const Reply reply = sendRequest(installation, front, "/wide/x", front + "-" + std::to_string(index));
                unanswered += reply.status == 200 && reply.header("Missing-Parts") == "0" ? 0 : restarts ? 0 : 1;
                std::this_thread::sleep_for(40ms);
            }
        });
    }
    std::this_thread::sleep_for(5s);
    for (const char *front : {"front1", "front2"}) {
        cr_assert(installation.stop(front, SIGKILL));
        installation.start(front);
        std::this_thread::sleep_for(1s);
    }
    std::this_thread::sleep_for(5s);
    const auto endedAt = std::chrono::steady_clock::now();
    servers.first.setLimit("");
    const auto arrivalsSince = [&servers](std::chrono::steady_clock::time_point begin, std::chrono::steady_clock::time_point end) {
        const std::vector<std::chrono::steady_clock::time_point> times = servers.first.arrivalTimes();
        return std::ranges::count_if(times, [&](const auto &time) { return time >= begin && time < end; });
    };
    const bool usedFully = waitUntil(
        [&] {
            const auto now = std::chrono::steady_clock::now();
            return arrivalsSince(now - 1s, now) > 2 * limit;
        },
        8000ms);
    callers.clear();

    for (auto begin = namedAt + window; begin + window <= endedAt; begin += 50ms) {
        const auto arrived = static_cast<double>(arrivalsSince(begin, begin + window));
        cr_assert_leq(arrived, 1.5 * limit * 4 + 5);
    }
    cr_assert_gt(arrivalsSince(namedAt + window, endedAt), 0);
    cr_assert_eq(unanswered.load(), 0);
    cr_assert(usedFully, "the server's end of the limit wasn't noticed");
}

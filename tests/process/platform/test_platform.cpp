// The whole path on the users' platform, with real processes: configurations, routed requests, announcements, and losses of
// processes and disks. Callers, backend servers and the operator are played by the test.
#include "process/platform/platforminstallation.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <csignal>
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

// Two shards and an archive, and heartbeats for them in the background.
class Servers
{
public:
    explicit Servers(const PlatformInstallation &platform)
        : installation(platform)
        , beats([this](const std::stop_token &stop) { this->beat(stop); })
    {
    }

    ServerStandIn first{"s1", "i-first", "z1"};
    ServerStandIn second{"s2", "i-second", "z2"};
    ServerStandIn archive{"archive", "i-archive", "z1"};
    std::atomic<bool> archiveDrains{false};

private:
    void beat(const std::stop_token &stop) const
    {
        auto *self = const_cast<Servers *>(this);
        while (!stop.stop_requested()) {
            self->installation.announce(self->first, "ready");
            self->installation.announce(self->second, "ready");
            self->installation.announce(self->archive, this->archiveDrains ? "draining" : "ready");
            std::this_thread::sleep_for(250ms);
        }
    }

    const PlatformInstallation &installation;
    std::jthread beats;
};

Reply ask(const PlatformInstallation &installation, const std::string &front, const std::string &target, const std::string &id)
{
    const bool once = target.starts_with("/one/");
    return call({.address = installation.callerAddress(front),
                 .method = once ? "POST" : "GET",
                 .target = target,
                 .headers = {{"Host", "h.example"}, {"Attempt-Id", id}, {"Time-Remaining", "2000"}},
                 .body = once ? "content" : ""});
}

bool servesWhole(const PlatformInstallation &installation, const std::string &front)
{
    const Reply reply = ask(installation, front, "/wide/x", "probe");
    return reply.status == 200 && reply.header("Missing-Parts") == "0" && ask(installation, front, "/one/x", "probe1").status == 200;
}

bool allServe(const PlatformInstallation &installation)
{
    const std::vector<std::string> names = installation.fronts();
    return std::ranges::all_of(names, [&](const std::string &front) { return servesWhole(installation, front); });
}

const std::vector<std::string> twoShards{"s1", "s2"};

} // namespace

// Guards against breaks anywhere on the path of a caller's request, an announcement, or a configuration.
Test(platform, the_whole_path_serves)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    cr_assert(eventually([&] { return ask(installation, "front1", "/wide/x", "early").status == 503; }));
    cr_assert(call({.address = installation.readinessAddress("front1"), .target = "/v1/readiness"}).status == 503);
    Servers servers(installation);
    cr_assert(installation.acknowledged(configuration(7, twoShards)));
    cr_assert(eventually([&] { return allServe(installation); }));

    const Reply wide = ask(installation, "front1", "/wide/x", "w1");
    cr_assert(wide.status == 200 && wide.header("Missing-Parts") == "0");
    cr_assert(wide.header("Part-Stamps") == "i-first.w1, i-second.w1");
    cr_assert(wide.body == "i-second........i-first.........");
    const Reply one = ask(installation, "front2", "/one/x", "o1");
    cr_assert(one.status == 200 && one.header("Server-Stamp") == "i-archive.o1" && one.header("Attempt-Id") == "o1");
    cr_assert(servers.archive.runsOf("o1") == 1);
    cr_assert(ask(installation, "front1", "/none/x", "n1").status == 404);

    const Reply entries = call({.address = installation.directoryAddress("control2"), .target = "/v1/resolve?name=h.example&zone=z1"});
    cr_assert(entries.status == 200 && nlohmann::json::parse(entries.body).at("addrs").size() == 2);
    cr_assert(call({.address = installation.readinessAddress("front1"), .target = "/v1/readiness"}).status == 200);
}

// Guards against a lower number or an invalid document changing what is in force, and against an answer that isn't what was sent.
Test(platform, the_highest_configuration_wins_and_is_read_back_whole)
{
    PlatformInstallation installation(3, 1);
    installation.startAll();
    cr_assert(installation.acknowledged(configuration(7, twoShards)));
    cr_assert(installation.acknowledged(configuration(20, twoShards, 1500)));
    cr_assert(installation.putConfiguration("control1", configuration(9, twoShards)).status == 200);
    cr_assert(installation.putConfiguration("control2", configuration(20, twoShards)).status == 200);
    nlohmann::json invalid = configuration(30, twoShards);
    invalid["routes"][0]["timeout_ms"] = 0;
    cr_assert(installation.putConfiguration("control3", invalid).status == 400);
    for (const std::string &control : installation.controls()) {
        const Reply read = installation.getConfiguration(control);
        cr_assert(read.status == 200 && read.body == configuration(20, twoShards, 1500).dump());
    }
}

// Guards against a lost leader stopping changes or service, and against a member that returns with an older state.
Test(platform, a_killed_leader_costs_neither_service_nor_a_change)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    Servers servers(installation);
    cr_assert(installation.acknowledged(configuration(7, twoShards)));
    cr_assert(eventually([&] { return allServe(installation); }));
    const std::string leader = installation.leader();
    cr_assert(!leader.empty());
    cr_assert(installation.stop(leader, SIGKILL));
    cr_assert(allServe(installation));
    cr_assert(installation.acknowledged(configuration(8, twoShards)));
    cr_assert(eventually([&] { return allServe(installation); }));
    installation.start(leader);
    cr_assert(eventually([&] { return installation.getConfiguration(leader).body == configuration(8, twoShards).dump(); }));
}

// Guards against a member that lost its disk voting as before, and against a group that can't lose another one after it.
Test(platform, a_wiped_member_joins_again_and_the_next_loss_is_borne)
{
    PlatformInstallation installation(3, 1);
    installation.startAll();
    cr_assert(installation.acknowledged(configuration(7, twoShards)));
    installation.setFounding(false);
    cr_assert(installation.stop("control3", SIGKILL));
    installation.wipe("control3");
    installation.start("control3");
    cr_assert(installation.acknowledged(configuration(8, twoShards)));
    cr_assert(eventually([&] { return installation.getConfiguration("control3").status == 200; }));
    std::this_thread::sleep_for(4s);
    cr_assert(installation.stop("control1", SIGKILL));
    cr_assert(installation.acknowledged(configuration(9, twoShards)));
    cr_assert(eventually([&] { return installation.getConfiguration("control3").body == configuration(9, twoShards).dump(); }));
}

// Guards against a lost control process staying a voter when another instance takes its place.
Test(platform, a_spare_control_process_replaces_a_lost_one)
{
    PlatformInstallation installation(4, 1);
    installation.startAll();
    cr_assert(installation.acknowledged(configuration(7, twoShards)));
    std::this_thread::sleep_for(1s);
    cr_assert(installation.stop("control2", SIGKILL));
    cr_assert(installation.acknowledged(configuration(8, twoShards)));
    std::this_thread::sleep_for(5s);
    cr_assert(installation.stop("control3", SIGKILL));
    cr_assert(installation.acknowledged(configuration(9, twoShards)));
    cr_assert(eventually([&] { return installation.getConfiguration("control4").body == configuration(9, twoShards).dump(); }));
}

// Guards against long silence after a loss of every process, and against an acknowledged change that is gone.
Test(platform, after_the_loss_of_all_processes_service_returns_and_nothing_is_lost)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    Servers servers(installation);
    cr_assert(installation.acknowledged(configuration(7, twoShards)));
    cr_assert(eventually([&] { return allServe(installation); }));
    std::this_thread::sleep_for(1s);
    cr_assert(installation.acknowledged(configuration(8, twoShards)));
    for (const std::string &name : installation.controls()) {
        cr_assert(installation.stop(name, SIGKILL));
    }
    for (const std::string &name : installation.fronts()) {
        cr_assert(installation.stop(name, SIGKILL));
    }
    installation.setFounding(false);
    installation.startAll();
    cr_assert(eventually([&] { return allServe(installation); }));
    cr_assert(eventually([&] { return installation.getConfiguration("control1").body == configuration(8, twoShards).dump(); }));
}

// Guards against fronts that stop serving while no control process can be reached.
Test(platform, fronts_serve_without_any_control_process)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    Servers servers(installation);
    cr_assert(installation.acknowledged(configuration(7, twoShards)));
    cr_assert(eventually([&] { return allServe(installation); }));
    for (const std::string &name : installation.controls()) {
        cr_assert(installation.stop(name, SIGKILL));
    }
    std::this_thread::sleep_for(5s);
    cr_assert(allServe(installation));
}

// Guards against new work for a server that said that it drains.
Test(platform, a_draining_server_gets_no_new_work)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    Servers servers(installation);
    cr_assert(installation.acknowledged(configuration(7, twoShards)));
    cr_assert(eventually([&] { return allServe(installation); }));
    servers.archiveDrains = true;
    cr_assert(installation.announce(servers.archive, "draining"));
    std::this_thread::sleep_for(2s);
    const std::size_t before = servers.archive.runs();
    for (int index = 0; index < 20; ++index) {
        cr_assert(ask(installation, "front" + std::to_string(1 + index % 2), "/one/x", "d" + std::to_string(index)).status == 503);
    }
    cr_assert(servers.archive.runs() == before);
}

// Guards against requests cut off by a planned stop, and against a stop that takes longer than its time.
Test(platform, a_stopping_front_leaves_the_directory_and_cuts_nothing_off)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    Servers servers(installation);
    cr_assert(installation.acknowledged(configuration(7, twoShards)));
    cr_assert(eventually([&] { return allServe(installation); }));
    servers.first.setWork(200ms);
    std::atomic<int> answered{0};
    std::atomic<int> cut{0};
    std::jthread callers([&](const std::stop_token &stop) {
        for (int index = 0; !stop.stop_requested(); ++index) {
            const Reply reply = ask(installation, "front1", "/wide/x", "c" + std::to_string(index));
            answered += reply.status == 200 ? 1 : 0;
            // A refused connection is no loss; a request that was read is answered.
            cut += reply.status != 200 && reply.status != 0 ? 1 : 0;
        }
    });
    cr_assert(eventually([&] { return answered > 3; }));
    std::jthread stopper([&] { cr_assert(installation.stop("front1", SIGTERM, 6500ms)); });
    cr_assert(eventually([&] {
        const Reply entries = call({.address = installation.directoryAddress("control1"), .target = "/v1/resolve?zone=z1"});
        return entries.status == 200 && entries.body.find(installation.callerAddress("front1")) == std::string::npos;
    }));
    cr_assert(call({.address = installation.readinessAddress("front1"), .target = "/v1/readiness"}).status != 200);
    stopper.join();
    callers.request_stop();
    callers.join();
    cr_assert(cut == 0, "%d", cut.load());
}

// Guards against work going on for a caller that has left.
Test(platform, work_for_a_caller_that_leaves_is_given_up)
{
    PlatformInstallation installation(3, 1);
    installation.startAll();
    Servers servers(installation);
    cr_assert(installation.acknowledged(configuration(7, twoShards)));
    cr_assert(eventually([&] { return allServe(installation); }));
    servers.first.setWork(1500ms);
    const Reply none = call({.address = installation.callerAddress("front1"),
                             .target = "/wide/x",
                             .headers = {{"Host", "h.example"}, {"Attempt-Id", "gone"}, {"Time-Remaining", "2000"}},
                             .timeout = 200ms});
    cr_assert(none.status == 0);
    cr_assert(eventually([&] { return servers.first.abandoned() > 0; }, 1000ms));
}

// Guards against a server that said that it ends being used again: it may go on sending heartbeats while it ends, for longer
// than a lease, and to other control processes.
Test(platform, a_server_that_left_is_not_brought_back_by_its_heartbeats)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    Servers servers(installation);
    cr_assert(installation.acknowledged(configuration(7, twoShards)));
    cr_assert(eventually([&] { return allServe(installation); }));
    const Reply left = call(
        {.address = installation.controlAddress("control2"), .method = "DELETE", .target = "/v1/instances/" + servers.archive.identity()});
    cr_assert(left.status == 200);
    std::this_thread::sleep_for(1s);
    const std::size_t before = servers.archive.runs();
    for (int index = 0; index < 25; ++index) {
        cr_assert(ask(installation, "front" + std::to_string(1 + index % 2), "/one/x", "l" + std::to_string(index)).status == 503);
        std::this_thread::sleep_for(200ms);
    }
    cr_assert(servers.archive.runs() == before);
}

// Guards against a leave that is acknowledged by a control process which doesn't know the server yet and so tells nobody,
// while fronts go on using the server.
Test(platform, a_leave_that_a_control_process_can_not_pass_on_is_not_acknowledged)
{
    PlatformInstallation installation(3, 2);
    installation.startAll();
    Servers servers(installation);
    cr_assert(installation.acknowledged(configuration(7, twoShards)));
    cr_assert(eventually([&] { return allServe(installation); }));
    // Cut off from the other two, the third neither knows a server that is new nor can it learn of it.
    installation.signal("control1", SIGSTOP);
    installation.signal("control2", SIGSTOP);
    std::this_thread::sleep_for(2500ms);
    const Call leave{.address = installation.controlAddress("control3"), .method = "DELETE", .target = "/v1/instances/i-unheard"};
    cr_assert_eq(call(leave).status, 503);
    installation.signal("control1", SIGCONT);
    installation.signal("control2", SIGCONT);
    // With all of them heard, nobody knows the server, so there is nothing left to tell.
    cr_assert(eventually([&] { return call(leave).status == 200; }));
}

// Crowds of clients that don't keep to the protocol or to its limits, on each listener of a front and of a control process. The
// settings of the processes are lowered so that a small crowd is enough. Each test checks that the process lives, what it holds,
// and that an ordinary request is answered; none depends on the speed of the machine.
#include "process/platform/crowd.h"
#include "process/platform/platforminstallation.h"

#include <criterion/criterion.h>
#include <memory>
#include <thread>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;

// Settings of both processes.
constexpr std::size_t maximumConnections = 400;
constexpr std::size_t maximumPeerConnections = 64;
constexpr std::size_t requestMemory = 4 * mebibyte;
constexpr std::size_t replyMemory = 8 * mebibyte;
// Of a caller's request, in the configuration.
constexpr std::size_t bodyLimit = mebibyte;

// What a process may hold, as docs/limits.md adds it up.
constexpr std::size_t memoryAtRest = 32 * mebibyte;
constexpr std::size_t memoryPerConnection = 40 * kibibyte;
constexpr std::size_t configurationMemory = 64 * mebibyte;
constexpr std::size_t memoryBound = memoryAtRest + requestMemory + maximumConnections * memoryPerConnection + 2 * bodyLimit;
constexpr std::size_t descriptorsAtRest = 64;
// Refused connections stay open for a moment, so that the refusal isn't lost; an eighth of the others at most.
constexpr std::size_t descriptorBound = descriptorsAtRest + maximumConnections + maximumConnections / 8;

// A body whose last chunk is one byte short of this size.
constexpr std::size_t callerBody = bodyLimit - 1;
constexpr std::size_t controlBody = 3 * mebibyte - 1;
constexpr std::size_t largeChunk = 64 * kibibyte;

constexpr std::size_t shardCount = 8;

std::string shardName(std::size_t index)
{
    return "shard" + std::to_string(index);
}

nlohmann::json routeTo(const std::string &path, const std::string &kind, const std::string &service)
{
    return {{"name", path},
            {"host", "h.example"},
            {"path_prefix", path},
            {"kind", kind},
            {"timeout_ms", 4000},
            {"target_latency_ms", 1000},
            {"priority", 0},
            {"service", service},
            {"max_attempts", 2}};
}

nlohmann::json crowdConfiguration()
{
    nlohmann::json document{{"version", 7}};
    document["routes"] = {routeTo("/quick/", "safe", "quick"), routeTo("/slow/", "unsafe", "slow"), routeTo("/large/", "safe", "large")};
    nlohmann::json wide = routeTo("/wide/", "safe", "");
    wide.erase("service");
    wide["result_limit"] = 10;
    wide["minimum_success_share"] = 0.5;
    for (const char *service : {"quick", "slow", "large"}) {
        document["services"].push_back({{"name", service}, {"connection_limit", 1000}});
    }
    for (std::size_t index = 0; index < shardCount; ++index) {
        wide["fanout_services"].push_back(shardName(index));
        document["services"].push_back({{"name", shardName(index)}, {"connection_limit", 1000}});
    }
    document["routes"].push_back(wide);
    // Connections stay open until the process ends them for want of room, or the test does.
    document["limits"]
        = {{"max_header_bytes", 16384}, {"max_body_bytes", bodyLimit}, {"header_timeout_ms", 60000}, {"idle_timeout_ms", 600000}};
    return document;
}

// One control process, one front and a server of each service.
class CrowdedInstallation
{
public:
    CrowdedInstallation()
    {
        this->processes.setSetting("seeds", {this->processes.controlAddress("control1")});
        this->processes.setSetting("toleratedLosses", 0);
        this->processes.setSetting("maximumConnections", maximumConnections);
        this->processes.setSetting("maximumPeerConnections", maximumPeerConnections);
        this->processes.setSetting("requestMemoryBytes", requestMemory);
        this->processes.setSetting("replyMemoryBytes", replyMemory);
        this->processes.startAll();
        for (const char *service : {"quick", "slow", "large"}) {
            this->servers.push_back(std::make_unique<ServerStandIn>(service, std::string("i-") + service, "z1"));
        }
        this->servers.at(1)->setServiceTime(3000ms);
        this->servers.at(2)->setAnswerBytes(4 * mebibyte - 64 * kibibyte);
        for (std::size_t index = 0; index < shardCount; ++index) {
            this->servers.push_back(std::make_unique<ServerStandIn>(shardName(index), "i-" + shardName(index), "z1"));
            this->servers.back()->setServiceTime(1500ms);
        }
        this->heartbeats = std::jthread([this](const std::stop_token &stop) { this->sendHeartbeats(stop); });
        cr_assert(this->processes.putUntilAcknowledged(crowdConfiguration()));
        cr_assert(waitUntil([this] {
            return this->answersCallers() && this->processes.metric("front1", "galenawell_backend_servers") >= this->servers.size();
        }));
    }

    bool answersCallers() const
    {
        return this->answers(this->processes.callerAddress("front1"), "/quick/x");
    }

    bool answers(const std::string &address, const std::string &target) const
    {
        return call({.address = address,
                     .target = target,
                     .headers = {{"Host", "h.example"}, {"Attempt-Id", "ordinary"}, {"Time-Remaining", "4000"}},
                     .timeout = 5000ms})
                   .status
            == 200;
    }

    bool answersHeartbeats() const
    {
        return this->processes.announce("i-other", ServerStandIn("quick", "i-other", "z1").heartbeat("draining"));
    }

    PlatformInstallation processes{1, 1};

private:
    void sendHeartbeats(const std::stop_token &stop) const
    {
        while (!stop.stop_requested()) {
            for (const auto &server : this->servers) {
                this->processes.announce(*server, "ready");
            }
            std::this_thread::sleep_for(250ms);
        }
    }

    std::vector<std::unique_ptr<ServerStandIn>> servers;
    // Uses the members above.
    std::jthread heartbeats;
};

struct Bounds
{
    std::size_t memoryBytes = memoryBound;
    std::size_t descriptors = descriptorBound;
};

// Lets the crowds come to one process, then checks what it has held and that it answers while they stay and afterwards.
void checkCrowds(const CrowdedInstallation &installation,
                 const std::string &process,
                 const std::vector<CrowdOptions> &options,
                 const std::function<bool()> &answers,
                 const Bounds &bounds = {})
{
    const PlatformInstallation &processes = installation.processes;
    const ProcessWatch watch(processes.process(process), processes.ip(process));
    std::vector<std::unique_ptr<Crowd>> crowds;
    for (const CrowdOptions &crowd : options) {
        crowds.push_back(std::make_unique<Crowd>(crowd));
    }
    for (const auto &crowd : crowds) {
        crowd->waitUntilSettled();
    }
    const bool answeredMeanwhile = waitUntil(answers);
    for (const auto &crowd : crowds) {
        crowd->leave();
    }
    const bool answeredAfterwards = waitUntil(answers);
    const bool closed = waitUntil([&] { return watch.descriptors() <= descriptorsAtRest; });
    const ProcessPeaks peaks = watch.peaks();
    cr_log_info("%s held %zu KiB and %zu descriptors", process.c_str(), peaks.memoryBytes / kibibyte, peaks.descriptors);
    cr_assert(!processes.hasUnexpectedExit());
    cr_expect_leq(
        peaks.memoryBytes, bounds.memoryBytes, "held %zu of %zu KiB", peaks.memoryBytes / kibibyte, bounds.memoryBytes / kibibyte);
    cr_expect_leq(peaks.descriptors, bounds.descriptors, "held %zu of %zu descriptors", peaks.descriptors, bounds.descriptors);
    cr_expect(answeredMeanwhile, "no ordinary request was answered while the crowd stayed");
    cr_expect(answeredAfterwards, "no ordinary request was answered after the crowd had left");
    cr_expect(closed, "%zu descriptors are open after the crowd has left", watch.descriptors());
}

void checkCallerCrowd(CrowdOptions options, const Bounds &bounds = {})
{
    const CrowdedInstallation installation;
    options.address = installation.processes.callerAddress("front1");
    checkCrowds(
        installation, "front1", {options}, [&] { return installation.answersCallers(); }, bounds);
}

void checkControlCrowd(CrowdOptions options, const Bounds &bounds = {})
{
    const CrowdedInstallation installation;
    options.address = installation.processes.controlAddress("control1");
    checkCrowds(
        installation, "control1", {options}, [&] { return installation.answersHeartbeats(); }, bounds);
}

CrowdOptions unendedControlBodies(const std::string &address)
{
    return {.address = address, .clients = 40, .bytes = chunkedHead("PUT", "/v1/configuration") + unendedChunks(controlBody, largeChunk)};
}

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes) {
        result += text;
    }
    return result;
}

} // namespace

// Guards against bodies that are limited one by one but not together.
Test(crowds, large_chunks_to_the_callers_listener)
{
    checkCallerCrowd({.clients = 150, .bytes = chunkedHead("POST", "/slow/x") + unendedChunks(callerBody, largeChunk)});
}

// Guards against framing that costs far more than the body that it brings.
Test(crowds, chunks_of_one_byte_to_the_callers_listener)
{
    checkCallerCrowd({.clients = 300, .bytes = chunkedHead("POST", "/slow/x") + unendedChunks(100'000, 1)});
}

// Guards against a chunk extension that is buffered without a limit for all connections together.
Test(crowds, endless_chunk_extensions_to_the_callers_listener)
{
    checkCallerCrowd({.clients = 400, .bytes = chunkedHead("POST", "/slow/x") + "5;name=" + std::string(250 * kibibyte, 'x')});
}

// Guards against trailers that are buffered without a limit for all connections together.
Test(crowds, endless_trailers_to_the_callers_listener)
{
    checkCallerCrowd({.clients = 300, .bytes = chunkedHead("POST", "/slow/x") + "0\r\n" + repeated("Name: value\r\n", 250 * kibibyte)});
}

// Guards against whole requests that are held without a limit while a server works on them.
Test(crowds, whole_bodies_to_a_slow_server)
{
    checkCallerCrowd({.clients = 150, .bytes = chunkedHead("POST", "/slow/x") + unendedChunks(bodyLimit, largeChunk) + "0\r\n\r\n"});
}

// Guards against a copy of the body for each group that is queried.
Test(crowds, whole_bodies_to_many_slow_shards)
{
    checkCallerCrowd({.clients = 100, .bytes = chunkedHead("POST", "/wide/x") + unendedChunks(bodyLimit, largeChunk) + "0\r\n\r\n"});
}

// Guards against header fields that cost many times their bytes.
Test(crowds, many_small_header_fields_to_the_callers_listener)
{
    checkCallerCrowd({.clients = 400, .bytes = chunkedHead("POST", "/slow/x", repeated("a:\r\n", 15 * kibibyte)) + unendedChunks(16, 16)});
}

// Guards against requests that are served for a caller that has gone.
Test(crowds, pipelined_requests_of_callers_that_leave)
{
    checkCallerCrowd({.clients = 400, .bytes = repeated("GET / HTTP/1.1\r\n\r\n", 250 * kibibyte), .reads = false});
}

// Guards against answers that are held for callers that don't read them.
Test(crowds, answers_that_are_not_read)
{
    const std::string request = "GET /large/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd\r\nTime-Remaining: 4000\r\n\r\n";
    checkCallerCrowd({.clients = 100, .bytes = request, .reads = false}, {.memoryBytes = memoryBound + replyMemory});
}

// Guards against silent connections that keep ordinary callers out.
Test(crowds, silent_connections_to_the_callers_listener)
{
    checkCallerCrowd({.clients = maximumConnections + 100});
}

// Guards against a limit that only the callers' listener has.
Test(crowds, large_chunks_to_the_readiness_listener)
{
    const CrowdedInstallation installation;
    const std::string address = installation.processes.readinessAddress("front1");
    checkCrowds(installation, "front1", {unendedControlBodies(address)}, [&] { return installation.answers(address, "/v1/readiness"); });
}

// Guards against silent connections that make the front count as not ready.
Test(crowds, silent_connections_to_the_readiness_listener)
{
    const CrowdedInstallation installation;
    const std::string address = installation.processes.readinessAddress("front1");
    checkCrowds(installation, "front1", {{.address = address, .clients = maximumConnections + 100}}, [&] {
        return installation.answers(address, "/v1/readiness");
    });
}

// Guards against a limit that only the callers' listener has.
Test(crowds, large_chunks_to_the_metrics_listener_of_a_front)
{
    const CrowdedInstallation installation;
    const std::string address = installation.processes.metricsAddress("front1");
    checkCrowds(installation, "front1", {unendedControlBodies(address)}, [&] { return installation.answersCallers(); });
}

// Guards against limits that hold for each listener but not for the process.
Test(crowds, large_chunks_to_all_listeners_of_a_front_at_once)
{
    const CrowdedInstallation installation;
    const PlatformInstallation &processes = installation.processes;
    const CrowdOptions callers{.address = processes.callerAddress("front1"),
                               .clients = 100,
                               .bytes = chunkedHead("POST", "/slow/x") + unendedChunks(callerBody, largeChunk)};
    checkCrowds(installation,
                "front1",
                {callers,
                 unendedControlBodies(processes.readinessAddress("front1")),
                 unendedControlBodies(processes.metricsAddress("front1")),
                 {.address = processes.callerAddress("front1"), .clients = 200}},
                [&] { return installation.answersCallers(); });
}

// Guards against bodies of announcements and configurations that are limited one by one but not together.
Test(crowds, large_chunks_to_the_control_listener)
{
    const CrowdedInstallation installation;
    const std::string address = installation.processes.controlAddress("control1");
    checkCrowds(installation, "control1", {unendedControlBodies(address)}, [&] { return installation.answersHeartbeats(); });
}

// Guards against framing that costs far more than the body that it brings.
Test(crowds, chunks_of_one_byte_to_the_control_listener)
{
    checkControlCrowd({.clients = 300, .bytes = chunkedHead("PUT", "/v1/configuration") + unendedChunks(100'000, 1)});
}

// Guards against heartbeats that are read into memory whole however large they are (review/7).
Test(crowds, unreadable_heartbeats_of_the_largest_size)
{
    const std::string body(controlBody, '[');
    checkControlCrowd(
        {.clients = 4, .bytes = "PUT /v1/instances/odd HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body});
}

// Guards against a configuration that costs many times its size to read.
Test(crowds, unreadable_configurations_of_the_largest_size)
{
    const std::string body(controlBody, '[');
    checkControlCrowd(
        {.clients = 4, .bytes = "PUT /v1/configuration HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body},
        {.memoryBytes = memoryBound + configurationMemory});
}

// Guards against silent connections that keep backend servers and operators out.
Test(crowds, silent_connections_to_the_control_listener)
{
    checkControlCrowd({.clients = maximumConnections + 100});
}

// Guards against a limit that only the control listener has.
Test(crowds, large_chunks_to_the_directory_listener)
{
    const CrowdedInstallation installation;
    const std::string address = installation.processes.directoryAddress("control1");
    checkCrowds(installation, "control1", {unendedControlBodies(address)}, [&] {
        return installation.answers(address, "/v1/resolve?name=h.example&zone=z1");
    });
}

// Guards against silent connections that keep callers from looking up a front.
Test(crowds, silent_connections_to_the_directory_listener)
{
    const CrowdedInstallation installation;
    const std::string address = installation.processes.directoryAddress("control1");
    checkCrowds(installation, "control1", {{.address = address, .clients = maximumConnections + 100}}, [&] {
        return installation.answers(address, "/v1/resolve?name=h.example&zone=z1");
    });
}

// Guards against a limit that only the control listener has.
Test(crowds, large_chunks_to_the_metrics_listener_of_a_control_process)
{
    const CrowdedInstallation installation;
    const std::string address = installation.processes.metricsAddress("control1");
    checkCrowds(installation, "control1", {unendedControlBodies(address)}, [&] { return installation.answersHeartbeats(); });
}

// Guards against connections that never prove the peer key and take the descriptors of the process.
Test(crowds, silent_connections_to_the_peers_listener)
{
    const CrowdedInstallation installation;
    checkCrowds(installation,
                "control1",
                {{.address = installation.processes.peerAddress("control1"), .clients = 300}},
                [&] { return installation.answersHeartbeats(); },
                {.descriptors = descriptorsAtRest + maximumPeerConnections});
}

// Guards against limits that refuse a caller who keeps to them: the largest body, in one chunk and in chunks of one byte.
Test(crowds, a_body_of_exactly_the_limit_is_served)
{
    const CrowdedInstallation installation;
    for (const std::size_t chunkBytes : {bodyLimit, std::size_t(1)}) {
        Asio::io_context context;
        Tcp::socket connected(context);
        const std::string address = installation.processes.callerAddress("front1");
        const std::size_t colon = address.find(':');
        connected.connect(
            {Asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(std::stoul(address.substr(colon + 1)))});
        PlainSocket caller(std::move(connected));
        caller.send(chunkedHead("POST", "/quick/x", "Connection: close\r\n") + unendedChunks(bodyLimit, chunkBytes) + "0\r\n\r\n");
        const std::string answer = caller.readAll();
        cr_assert(answer.starts_with("HTTP/1.1 200 "), "%s", answer.substr(0, 200).c_str());
    }
}

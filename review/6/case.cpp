// A replica that is full rejects an unsafe request, and a second copy of the rejection arrives where the answer to the next
// request on the connection is due. The front repeats the request there under the same Attempt-Id, takes the copy for the
// answer to the repetition, and sends the request once more although it runs.
#include "platform.h"

#include <atomic>

using namespace Review;
using namespace std::chrono_literals;

namespace {

constexpr const char *manifest = R"({"version":5,"routes":[{"name":"r1","host":"h.example","path_prefix":"/file/","kind":"unsafe",)"
                                 R"("timeout_ms":4000,"target_latency_ms":1000,"priority":1,"service":"archive","max_attempts":2}],)"
                                 R"("services":[{"name":"archive","health_check_path":"/health","connection_limit":30,)"
                                 R"("protocol":"h1","use_tls":false}],"limits":{"max_header_bytes":16384,)"
                                 R"("max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

constexpr int requestCount = 20;

struct Runs
{
    std::mutex mutex;
    std::map<std::string, int> byId;
    std::map<std::string, int> arrivals;
};

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Deployment deployment(3, 1, record);
    if (deployment.ipPrefix().empty()) {
        return couldNotRun;
    }
    deployment.startAll();
    Runs runs;
    const bool sendsExtra = withTrouble();
    const std::string identity = "i-archive";
    Replica replica({.service = "archive", .identity = identity, .ip = deployment.ipPrefix() + "200"},
                    deployment,
                    record,
                    [&](Connection &connection, const Message &request) {
                        const std::string id = request.header("attempt-id");
                        const std::string echo = "Attempt-Id: " + id + "\r\nServer-Load: 0,0,1\r\n";
                        if (request.header("expected-instance") != identity) {
                            connection.send(responseText(421, echo + "Not-Executed: 1\r\n", ""));
                            return;
                        }
                        int arrival = 0;
                        {
                            const std::lock_guard lock(runs.mutex);
                            arrival = ++runs.arrivals[id];
                        }
                        const std::string rejection = responseText(503, echo + "Not-Executed: 1\r\n", "");
                        // Its only slot is busy when the request first arrives.
                        if (arrival == 1) {
                            record.line("replica: " + id + " rejected, the slot is busy");
                            connection.send(rejection);
                            return;
                        }
                        if (arrival == 2 && sendsExtra) {
                            record.line("replica: the rejection of " + id + " goes out a second time, late");
                            connection.send(rejection);
                        }
                        int run = 0;
                        {
                            const std::lock_guard lock(runs.mutex);
                            run = ++runs.byId[id];
                        }
                        record.line("replica: " + id + " runs, for the " + std::to_string(run) + ". time");
                        sleepFor(60ms);
                        connection.send(responseText(200, echo + "Server-Stamp: stamp." + id + "\r\n", "done"));
                    });
    replica.startPings();
    if (!deployment.putManifest(manifest, 20s) || !waitUntil([&] { return deployment.ready("front-1"); }, 20s)) {
        record.line("the deployment didn't start");
        return couldNotRun;
    }
    sleepFor(2s);
    int answered = 0;
    for (int number = 1; number <= requestCount; ++number) {
        const std::string id = "a" + std::to_string(1000 + number);
        const Message answer = call({.ip = deployment.node("front-1").ip,
                                     .port = Deployment::callerPort,
                                     .method = "POST",
                                     .target = "/file/x",
                                     .headers = "Host: h.example\r\nAttempt-Id: " + id + "\r\nTime-Remaining: 4000\r\n",
                                     .body = "one old pack",
                                     .timeout = 4500ms});
        record.line("client: " + id + " is answered " + std::to_string(answer.status));
        answered += answer.status == 200 ? 1 : 0;
        sleepFor(100ms);
    }
    sleepFor(500ms);
    int twice = 0;
    int total = 0;
    {
        const std::lock_guard lock(runs.mutex);
        for (const auto &[id, count] : runs.byId) {
            twice += count > 1 ? 1 : 0;
            total += count;
        }
    }
    record.line(std::to_string(requestCount) + " requests, " + std::to_string(answered) + " answered 200, " + std::to_string(total)
                + " runs, " + std::to_string(twice) + " requests ran more than once");
    if (total == 0) {
        return couldNotRun;
    }
    return twice > 0 ? ruleBroken : ruleHeld;
}

// An operator sends a manifest whose routes and services are null. It must be refused as invalid.
#include "../standin/standin.h"

using namespace Review;

namespace {

constexpr int requestsPerFront = 10;

// Number of requests that the fronts answered with 404.
int countNotFound(Platform &platform, Record &record)
{
    int notFound = 0;
    for (const std::string &front : platform.names(true)) {
        for (int index = 0; index < requestsPerFront; ++index) {
            notFound += send(platform, record, front, {.path = "/packs/annual"}).status() == 404 ? 1 : 0;
        }
    }
    return notFound;
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Platform platform(record, 3, 2);
    platform.startAll();
    const std::string valid = manifest(5, {{.name = "r-packs", .prefix = "/packs/", .target = R"("service":"archive")"}}, {"archive"});
    if (!platform.putManifest(valid) || !platform.waitUntilReady()) {
        return couldNotRun;
    }
    Replica replica(record, "archive", "i-1", platform.freeIp(1), platform.replicaPort());
    Heartbeats heartbeats(platform, record);
    heartbeats.start(replica, 0);
    sleepFor(Milliseconds(1000));
    if (countNotFound(platform, record) > 0 || replica.runs() == 0) {
        return couldNotRun;
    }

    unsigned status = 0;
    if (withTrouble()) {
        const std::string invalid
            = R"({"version":6,"routes":null,"services":null,"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
              R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
        status = platform.control("control-1", "PUT", "/v1/configuration", invalid).status();
        record.add("operator: the manifest without routes gets " + std::to_string(status));
    }
    sleepFor(configurationApplyTime + Milliseconds(500));
    const int notFound = countNotFound(platform, record);
    const Message readBack = platform.control("control-2", "GET", "/v1/configuration");
    record.add("operator reads back " + std::to_string(readBack.status()) + " " + readBack.body.substr(0, 60));
    record.add(std::to_string(notFound) + " requests of a route of the valid manifest got 404");
    const bool acknowledged = status >= 200 && status < 300;
    const bool inForce = readBack.status() == 200 && readBack.body != valid;
    if (platform.endedByItself()) {
        return couldNotRun;
    }
    return acknowledged || inForce ? ruleBroken : ruleHeld;
}

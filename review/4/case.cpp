// A machine of the core loses power. While it is down, two replicas leave with DELETE, acknowledged by another control process.
// The machine returns with its disk, long after that no request may reach the replicas that have left.
#include "../standin/standin.h"

using namespace Review;

namespace {

// Two of 14 leave: less than the share of 0.15 that scale_in has by default.
constexpr std::size_t replicaCount = 14;
constexpr std::size_t leavingCount = 2;
constexpr std::size_t frontCount = 3;
// All of it from the loss of power. The machine is down for 5 s; the acks fall after the core has been stable for 4 s.
constexpr Milliseconds leaveAt = contactTime + Milliseconds(400);
constexpr Milliseconds returnAt{5000};
// All machines are in touch again.
constexpr Milliseconds trafficAt = returnAt + contactTime + Milliseconds(600);

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Platform platform(record, 3, frontCount);
    platform.startAll();
    if (!platform.putManifest(manifest(1, {{.name = "r-packs", .prefix = "/packs/", .target = R"("service":"archive")"}}, {"archive"}))
        || !platform.waitUntilReady()) {
        return couldNotRun;
    }
    std::vector<std::unique_ptr<Replica>> replicas;
    Heartbeats heartbeats(platform, record);
    for (std::size_t index = 0; index < replicaCount; ++index) {
        replicas.push_back(
            std::make_unique<Replica>(record, "archive", "i-" + std::to_string(index), platform.freeIp(index), platform.replicaPort()));
        heartbeats.start(*replicas.back(), 0);
    }
    // The core has been stable for longer than contact_ms when the power goes.
    sleepFor(Milliseconds(6000));

    const Clock::time_point start = Clock::now();
    if (withTrouble()) {
        platform.kill("control-1");
    }
    std::this_thread::sleep_until(start + leaveAt);
    std::vector<Clock::time_point> acknowledgedAt;
    for (std::size_t index = 0; index < leavingCount; ++index) {
        heartbeats.stop(*replicas[index]);
        replicas[index]->setLeaving();
        bool acknowledged = false;
        for (int attempt = 0; attempt < 4 && !acknowledged; ++attempt) {
            const std::string control = attempt % 2 == 0 ? "control-2" : "control-3";
            acknowledged = platform.control(control, "DELETE", "/v1/instances/" + replicas[index]->id()).status() == 200;
            if (acknowledged) {
                record.add("replica " + replicas[index]->id() + " has left; " + control + " acknowledges it");
            }
        }
        if (!acknowledged) {
            return couldNotRun;
        }
        acknowledgedAt.push_back(Clock::now());
    }
    std::this_thread::sleep_until(start + returnAt);
    if (withTrouble()) {
        platform.start("control-1");
    }
    std::this_thread::sleep_until(start + trafficAt);
    std::vector<std::size_t> runsBefore;
    for (std::size_t index = 0; index < leavingCount; ++index) {
        runsBefore.push_back(replicas[index]->runs());
    }
    if (Clock::now() < acknowledgedAt.back() + drainTime) {
        return couldNotRun;
    }
    std::size_t served = 0;
    for (int round = 0; round < 40; ++round) {
        for (const std::string &front : platform.names(true)) {
            served += send(platform, record, front, {.path = "/packs/annual"}).status() == 200 ? 1 : 0;
        }
        sleepFor(Milliseconds(50));
    }
    std::size_t late = 0;
    for (std::size_t index = 0; index < leavingCount; ++index) {
        late += replicas[index]->runs() - runsBefore[index];
    }
    record.add(std::to_string(served) + " requests were served; " + std::to_string(late)
               + " reached a replica later than drain_ms after the ack of its leave");
    if (served == 0 || platform.endedByItself()) {
        return couldNotRun;
    }
    return late > 0 ? ruleBroken : ruleHeld;
}

// A server leaves with DELETE, which is acknowledged. Before, another writer has announced it under a service that isn't named.
#include "harness.h"

using namespace Harness;

namespace {

constexpr const char *desk = "drafting-desk";
constexpr Milliseconds drainTime{3000};
// Machines are in touch contact_ms, 4,000, after their start.
constexpr Milliseconds settlingTime{6000};

int run(Record &record)
{
    Installation installation(3, 2, record);
    installation.startAll();
    if (!installation.putManifest(makeManifest({.services = {desk}, .kinds = {"safe"}})) || !installation.waitReady()) {
        return couldNotRun;
    }
    auto *leaving = new Server({.service = desk, .identity = "i-desk-1"}, record);
    auto *staying = new Server({.service = desk, .identity = "i-desk-2"}, record);
    Announcer announcer(installation, {leaving, staying});
    pause(settlingTime);
    for (int number = 0; leaving->runs().empty() && number < 50; ++number) {
        call(callerRequest(installation.front(1), "/drafting-desk/a", "before" + std::to_string(number)));
    }
    if (leaving->runs().empty()) {
        return couldNotRun;
    }
    if (troubled()) {
        std::ostringstream entry;
        entry << R"({"service":"inventory","address":")" << leaving->address()
              << R"(","zone":"zone-a","version":"v1","slots":8,"state":"ready","warmup_remaining_ms":0,"sequence":1,"born":)"
              << unixMilliseconds() << "}";
        record.line("another writer sends for i-desk-1: " + entry.str());
        record.line("it gets " + std::to_string(installation.announce("i-desk-1", entry.str())));
    }
    announcer.remove(*leaving);
    installation.announce(leaving->identity(), leaving->heartbeat("ready"));
    if (installation.leave(leaving->identity()) != 200) {
        return couldNotRun;
    }
    const TimePoint acknowledged = Clock::now();
    record.line("i-desk-1 has sent DELETE and got 200; it serves for 6 s more");
    std::map<std::string, TimePoint> sent;
    for (int number = 0; Clock::now() < acknowledged + Milliseconds(6000); ++number) {
        const std::string id = "q" + std::to_string(number);
        sent[id] = Clock::now();
        call(callerRequest(installation.front(1 + static_cast<std::size_t>(number) % 2), "/drafting-desk/b", id));
        pause(Milliseconds(10));
    }
    std::size_t late = 0;
    long last = 0;
    for (const Run &one : leaving->runs()) {
        const auto found = sent.find(one.id);
        if (found != sent.end() && one.at > acknowledged + drainTime) {
            ++late;
            last = std::chrono::duration_cast<Milliseconds>(one.at - acknowledged).count();
        }
    }
    record.line("DRAIN: " + std::to_string(late) + " of " + std::to_string(sent.size())
                + " requests reached i-desk-1 later than 3000 ms after" + " its DELETE was acknowledged, the last one after "
                + std::to_string(last) + " ms");
    return late > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    runCase(run, argumentCount, arguments);
}

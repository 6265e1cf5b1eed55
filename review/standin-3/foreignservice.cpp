// Another writer sends one announcement with fields missing. It names a server of another service.
#include "harness.h"

using namespace Harness;

namespace {

constexpr const char *desk = "drafting-desk";
constexpr const char *builder = "pack-builder";

int run(Record &record)
{
    Installation installation(3, 2, record);
    installation.startAll();
    if (!installation.putManifest(makeManifest({.services = {desk, builder}, .kinds = {"safe", "safe"}})) || !installation.waitReady()) {
        return couldNotRun;
    }
    auto *first = new Server({.service = desk, .identity = "i-desk-1", .work = Milliseconds(28)}, record);
    auto *second = new Server({.service = desk, .identity = "i-desk-2", .work = Milliseconds(28)}, record);
    auto *other = new Server({.service = builder, .identity = "i-builder-1", .work = Milliseconds(28)}, record);
    const Announcer announcer(installation, {first, second, other});
    pause(Milliseconds(1000));
    for (const std::string path : {"/drafting-desk/a", "/pack-builder/a"}) {
        if (call(callerRequest(installation.front(1), path, "before" + path.substr(1, 3))).status() != 200) {
            return couldNotRun;
        }
    }
    if (troubled()) {
        std::ostringstream entry;
        entry << R"({"service":")" << desk << R"(","address":")" << other->address()
              << R"(","zone":"zone-a","slots":8,"state":"ready","sequence":1,"born":)" << unixMilliseconds() << "}";
        record.line("another writer sends for i-builder-1, without version and warmup_remaining_ms: " + entry.str());
        record.line("it gets " + std::to_string(installation.announce("i-builder-1", entry.str())));
    }
    std::atomic<std::size_t> refused{0};
    std::atomic<int> nextNumber{0};
    const TimePoint end = Clock::now() + Milliseconds(3000);
    const auto callers = [&](std::size_t index) {
        while (Clock::now() < end) {
            const int number = nextNumber++;
            const std::string service = number % 4 == 3 ? builder : desk;
            const std::string id = "q" + std::to_string(number);
            const Message answer = call(callerRequest(installation.front(1 + index % 2), "/" + service + "/b", id));
            record.line("sent " + id + " to /" + service + "/, answered " + std::to_string(answer.status()) + " "
                        + answer.header("server-stamp"));
            refused += answer.status() == 200 ? 0 : 1;
            pause(Milliseconds(20));
        }
    };
    {
        std::vector<std::jthread> threads;
        for (std::size_t index = 0; index < 8; ++index) {
            threads.emplace_back(callers, index);
        }
    }
    std::size_t foreign = 0;
    for (const Run &one : other->runs()) {
        foreign += one.target.rfind("/drafting-desk/", 0) == 0 ? 1 : 0;
    }
    record.line("ROUTE: " + std::to_string(foreign) + " requests of the route to " + desk + " were run by i-builder-1 of " + builder + "; "
                + std::to_string(refused) + " requests weren't served");
    return foreign > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    runCase(run, argumentCount, arguments);
}

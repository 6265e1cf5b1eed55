// A machine of the core is lost for good as the whole system starts for the first time. An empty one comes at another address.
#include "harness.h"

using namespace Harness;

namespace {

constexpr const char *desk = "drafting-desk";
// The core is stable this long after the loss, or after the start of the replacement.
constexpr Milliseconds contactTime{4000};
constexpr Milliseconds acknowledgementTime{5000};
constexpr Milliseconds observedTime{45000};
// From the loss until the empty machine comes.
constexpr Milliseconds replacementTime{2000};

int run(Record &record)
{
    Installation installation(4, 2, record);
    for (const char *name : {"control-1", "control-2", "front-1", "front-2"}) {
        installation.start(name, true);
    }
    pause(Milliseconds(200));
    installation.start("control-3", true);
    TimePoint lastEvent = Clock::now();
    if (troubled()) {
        installation.kill("control-3");
        record.line("control-3 is gone for good");
        pause(replacementTime);
        installation.setSeeds({1, 2, 4});
        installation.start("control-4", false);
        lastEvent = Clock::now();
    }
    auto *first = new Server({.service = desk, .identity = "i-desk-1"}, record);
    auto *second = new Server({.service = desk, .identity = "i-desk-2"}, record);
    const Announcer announcer(installation, {first, second});
    const std::string manifest = makeManifest({.services = {desk}, .kinds = {"safe"}});
    const bool acknowledged = installation.putManifest(manifest, observedTime);
    const auto taken = std::chrono::duration_cast<Milliseconds>(Clock::now() - lastEvent);
    int served = 0;
    for (int number = 0; number < 20; ++number) {
        const Message answer = call(
            callerRequest(installation.front(1 + static_cast<std::size_t>(number) % 2), "/drafting-desk/a", "q" + std::to_string(number)));
        served += answer.status() == 200 ? 1 : 0;
        record.line("a request was answered " + std::to_string(answer.status()) + " " + answer.body);
        pause(Milliseconds(200));
    }
    record.line("after " + std::to_string(taken.count()) + " ms from the last start the first manifest is "
                + (acknowledged ? "acknowledged; " : "not acknowledged; ") + std::to_string(served) + " of 20 requests were served");
    for (const std::string name : {"control-1", "control-2", "front-1", "front-2", troubled() ? "control-4" : "control-3"}) {
        if (installation.hasEnded(name)) {
            return couldNotRun;
        }
    }
    const bool late = !acknowledged || taken > contactTime + acknowledgementTime;
    return late && served == 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    runCase(run, argumentCount, arguments);
}

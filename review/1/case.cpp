// Three control processes run in peace. Then the two that don't lead lose their disks in turn, one at a time, each longer than
// catch_up_s after the other one has returned. What was acknowledged must still be read back.
#include "../standin/standin.h"

using namespace Review;

namespace {

constexpr Milliseconds calmTime{18000};
constexpr Milliseconds downTime{1000};
// catch_up_s of the site is 4: for so long after its return a machine counts as lost.
constexpr Milliseconds catchUpTime{4000};
constexpr Milliseconds spareTime{1500};
constexpr std::uint64_t diskLosses = 7;
// recovery_s of the site is 12.
constexpr Milliseconds recoveryTime{12000};
constexpr int reads = 20;

// True if a control process says that it leads.
bool leads(Platform &platform, const std::string &control)
{
    const Message metrics = platform.metrics(control);
    const std::size_t line = metrics.body.find("\ngalenawell_is_leader{");
    return line != std::string::npos && metrics.body.compare(metrics.body.find('}', line), 3, "} 1") == 0;
}

// Loss of power and of the disk; the machine returns at its address.
void loseDisk(Platform &platform, Record &record, const std::string &control)
{
    platform.kill(control);
    platform.removeDisk(control);
    record.add(control + " has lost its disk");
    sleepFor(downTime);
    platform.start(control);
}

std::string simpleManifest(std::uint64_t version)
{
    return manifest(version, {{.name = "r-packs", .prefix = "/packs/", .target = R"("service":"archive")"}}, {"archive"});
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Platform platform(record, 3, 1);
    platform.startAll();
    if (!platform.putManifest(simpleManifest(1)) || !platform.waitUntilReady()) {
        return couldNotRun;
    }
    sleepFor(calmTime);
    std::vector<std::string> followers;
    for (const std::string &control : platform.names(false)) {
        if (!leads(platform, control)) {
            followers.push_back(control);
        }
    }
    if (followers.size() != 2) {
        return couldNotRun;
    }
    std::uint64_t acknowledged = 1;
    for (std::uint64_t loss = 0; loss < diskLosses; ++loss) {
        // Without a majority nothing is acknowledged any more.
        if (!platform.putManifest(simpleManifest(acknowledged + 1), Milliseconds(5000))) {
            record.add("operator: no ack of manifest " + std::to_string(acknowledged + 1) + " for 5 s");
            break;
        }
        ++acknowledged;
        record.add("manifest " + std::to_string(acknowledged) + " is acknowledged");
        if (withTrouble()) {
            loseDisk(platform, record, followers[loss % followers.size()]);
        }
        sleepFor(catchUpTime + spareTime);
    }
    sleepFor(recoveryTime);

    int readBack = 0;
    for (int attempt = 0; attempt < reads; ++attempt) {
        const std::string control = "control-" + std::to_string(1 + attempt % 3);
        const Message answer = platform.control(control, "GET", "/v1/configuration");
        const bool complete = answer.status() == 200 && answer.body == simpleManifest(acknowledged);
        record.add("operator: " + control + " answers a read with " + std::to_string(answer.status())
                   + (complete ? ", the acknowledged manifest" : ""));
        readBack += complete ? 1 : 0;
        sleepFor(Milliseconds(150));
    }
    record.add(std::to_string(readBack) + " of " + std::to_string(reads) + " reads gave the acknowledged manifest "
               + std::to_string(acknowledged));
    if (platform.endedByItself()) {
        return couldNotRun;
    }
    return readBack == 0 ? ruleBroken : ruleHeld;
}

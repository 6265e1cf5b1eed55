// Callers send requests with a long header field inside the limit of the manifest. Then ordinary callers send theirs.
#include "harness.h"

using namespace Harness;

namespace {

constexpr const char *desk = "drafting-desk";
// The manifest allows 131,072 bytes of headers.
constexpr std::uint32_t headerLimit = 131072;
constexpr int longRequests = 1600;

int run(Record &record)
{
    Installation installation(3, 1, record);
    installation.startAll();
    const std::string manifest = makeManifest({.services = {desk}, .kinds = {"safe"}, .maximumHeaderBytes = headerLimit});
    if (!installation.putManifest(manifest) || !installation.waitReady()) {
        return couldNotRun;
    }
    auto *first = new Server({.service = desk, .identity = "i-desk-1"}, record);
    auto *second = new Server({.service = desk, .identity = "i-desk-2"}, record);
    const Announcer announcer(installation, {first, second});
    pause(Milliseconds(1000));
    if (call(callerRequest(installation.front(1), "/drafting-desk/a", "before")).status() != 200) {
        return couldNotRun;
    }
    // Without trouble the field is a little shorter.
    const std::size_t fieldBytes = troubled() ? 65534 : 65000;
    std::map<int, int> answers;
    for (int number = 0; number < longRequests; ++number) {
        Call request = callerRequest(installation.front(1), "/drafting-desk/long", "long" + std::to_string(number));
        request.headers += "Cookie: " + std::string(fieldBytes, 'c') + "\r\n";
        ++answers[call(request).status()];
    }
    for (const auto &[status, count] : answers) {
        record.line(std::to_string(count) + " of the requests with a header field of " + std::to_string(fieldBytes) + " bytes "
                    + (status == 0 ? "got no answer" : "were answered " + std::to_string(status)));
    }
    int served = 0;
    int asked = 0;
    for (const TimePoint end = Clock::now() + Milliseconds(20000); Clock::now() < end; pause(Milliseconds(100))) {
        const Message answer = call(callerRequest(installation.front(1), "/drafting-desk/b", "short" + std::to_string(asked++)));
        served += answer.status() == 200 ? 1 : 0;
        record.line("an ordinary request was answered " + std::to_string(answer.status()) + " " + answer.body);
    }
    const int ready = call({.address = installation.readiness(1), .target = "/v1/readiness", .headers = "Host: provider\r\n"}).status();
    record.line("in the 20 s after them " + std::to_string(served) + " of " + std::to_string(asked)
                + " ordinary requests were served; the readiness address answers " + std::to_string(ready));
    return served == 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    runCase(run, argumentCount, arguments);
}

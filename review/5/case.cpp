// One request crashes each replica that begins to run it, and its client sends it again and again. Later than contact_ms after
// the third crash, more than three retries of it may not reach replicas.
#include "../standin/standin.h"

using namespace Review;

namespace {

constexpr std::size_t replicaCount = 8;
constexpr Milliseconds downTime{2000};
constexpr std::size_t crashesBeforeLimit = 3;
constexpr std::size_t allowedRetries = 3;
const std::string crashingPath = "/packs/crash";
// Of the other requests, which aren't idempotent: what a crash interrupts is lost.
constexpr Milliseconds otherWork{100};

// Crashes of replicas by the request, by client attempt.
class Crashes
{
public:
    void add(const std::string &attempt)
    {
        const std::lock_guard lock(this->mutex);
        const Clock::time_point now = Clock::now();
        if (++this->count == crashesBeforeLimit) {
            this->limitFrom = now + contactTime;
        }
        // Each arrival after the first of its client attempt is a retry of the system.
        if (++this->arrivals[attempt] > 1 && this->count > crashesBeforeLimit && now > this->limitFrom) {
            ++this->retries;
        }
    }

    std::size_t lateRetries() const
    {
        const std::lock_guard lock(this->mutex);
        return this->retries;
    }

    std::size_t total() const
    {
        const std::lock_guard lock(this->mutex);
        return this->count;
    }

private:
    mutable std::mutex mutex;
    std::map<std::string, int> arrivals;
    std::size_t count = 0;
    std::size_t retries = 0;
    Clock::time_point limitFrom = Clock::time_point::max();
};

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Platform platform(record, 3, 2);
    platform.startAll();
    if (!platform.putManifest(manifest(1,
                                       {{.name = "r-packs", .prefix = "/packs/", .target = R"("service":"archive")"},
                                        {.name = "r-annex", .prefix = "/annex/", .target = R"("service":"archive")", .kind = "unsafe"}},
                                       {"archive"}))
        || !platform.waitUntilReady()) {
        return couldNotRun;
    }
    Crashes crashes;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<std::atomic<bool>> crashed(replicaCount);
    Heartbeats heartbeats(platform, record);
    for (std::size_t index = 0; index < replicaCount; ++index) {
        replicas.push_back(
            std::make_unique<Replica>(record, "archive", "i-" + std::to_string(index), platform.freeIp(index), platform.replicaPort()));
        replicas.back()->setRun([&, index](Replica &replica, Connection &connection, const Message &request) {
            const std::string id = request.header("Attempt-Id");
            replica.countRun();
            if (withTrouble() && request.start.find(crashingPath) != std::string::npos) {
                record.add("replica " + replica.id() + " runs " + id + " and crashes");
                crashes.add(id);
                crashed[index] = true;
                return false;
            }
            sleepFor(otherWork);
            return connection.write(replica.success(id, std::string(32, 'r')));
        });
        heartbeats.start(*replicas.back(), index);
    }
    std::atomic<bool> done{false};
    // Takes down each replica that crashed, and starts it again after some seconds.
    std::vector<std::thread> supervisors;
    for (std::size_t index = 0; index < replicaCount; ++index) {
        supervisors.emplace_back([&, index] {
            while (!done) {
                if (crashed[index].exchange(false)) {
                    replicas[index]->stopListening();
                    sleepFor(downTime);
                    replicas[index]->restart();
                    record.add("replica " + replicas[index]->id() + " is back");
                }
                sleepFor(Milliseconds(1));
            }
        });
    }
    // Other requests earn the budget of retries. A 502 says that the outcome of one is unknown.
    std::atomic<std::size_t> served{0};
    std::atomic<std::size_t> lost{0};
    std::atomic<std::size_t> unused{0};
    std::vector<std::thread> others;
    for (int caller = 0; caller < 6; ++caller) {
        others.emplace_back([&, caller] {
            const std::string front = "front-" + std::to_string(1 + caller % 2);
            while (!done) {
                const Message request = clientMessage({.path = "/annex/send", .method = "POST", .body = "annex"}, newAttemptId());
                const unsigned status = call(platform.ipOf(front), platform.callerPort(), request, Milliseconds(3500)).status();
                ++(status == 200 ? served : status == 502 ? lost : unused);
                sleepFor(Milliseconds(20));
            }
        });
    }
    sleepFor(Milliseconds(2000));
    for (int index = 0; index < 20; ++index) {
        send(platform, record, "front-" + std::to_string(1 + index % 2), {.path = crashingPath});
        sleepFor(Milliseconds(1500));
    }
    done = true;
    for (std::thread &other : others) {
        other.join();
    }
    for (std::thread &supervisor : supervisors) {
        supervisor.join();
    }
    record.add(std::to_string(crashes.total()) + " crashes; " + std::to_string(crashes.lateRetries())
               + " retries reached a replica later than contact_ms after the third; " + std::to_string(served)
               + " other requests were served, " + std::to_string(lost) + " ended with 502, " + std::to_string(unused) + " otherwise");
    if (served == 0 || platform.endedByItself()) {
        return couldNotRun;
    }
    return crashes.lateRetries() > allowedRetries ? ruleBroken : ruleHeld;
}

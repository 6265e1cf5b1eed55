// Servers leave while control processes are killed, paused or cut off and return with what they knew before. Three control
// processes, three fronts and twelve servers under a simulated clock, from one seed.
#include "fault/faultlog.h"
#include "galenawell/core/randomsource.h"
#include "galenawell/registry/backendregistry.h"

#include <array>
#include <criterion/criterion.h>
#include <cstdlib>
#include <map>
#include <optional>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t controlCount = 3;
constexpr std::size_t frontCount = 3;
constexpr std::size_t serverCount = 12;
constexpr auto tick = 100ms;
constexpr auto heartbeatInterval = 1200ms;
constexpr auto hintInterval = 400ms;
// Time after the acknowledgement of a leave from which a server gets no requests.
constexpr auto drainTime = 3000ms;
// Time after which a process that was disturbed counts as undisturbed.
constexpr auto contactTime = 4000ms;
#if defined(__SANITIZE_ADDRESS__)
// Unoptimised code under the sanitizers runs many times slower.
constexpr unsigned seeds = 40;
#else
constexpr unsigned seeds = 200;
#endif

// Safeguards that a run may leave out, to show that the invariants detect their absence.
enum class Safeguard { None, RetiredServers, RememberedLeases };

class Simulation
{
public:
    Simulation(unsigned seed, Safeguard disabledSafeguard)
        : random(seed)
        , disabled(disabledSafeguard)
    {
        for (std::size_t index = 0; index < controlCount; ++index) {
            this->startControl(index);
        }
        for (std::size_t index = 0; index < frontCount; ++index) {
            this->startFront(index);
        }
        for (std::size_t index = 0; index < serverCount; ++index) {
            this->startServer(index);
        }
    }

    std::string run()
    {
        this->advance(8s);
        for (int fault = 0; fault < 4 && this->violation.empty(); ++fault) {
            this->disturb();
        }
        this->advance(15s);
        this->checkLiving();
        return this->violation;
    }

private:
    enum class Fault { None, Killed, Paused, CutOff };

    struct Control
    {
        std::optional<BackendRegistry> registry;
        Incarnation incarnation = 0;
        Fault fault = Fault::None;
        // Recovery file.
        std::vector<BackendRecord> savedServers;
        std::vector<RetiredServer> savedRetired;
        TimePoint savedAt;
        bool reachable() const
        {
            return this->fault == Fault::None;
        }
    };

    struct Front
    {
        std::optional<BackendRegistry> registry;
        TimePoint startedAt;
    };

    struct Server
    {
        BackendRecord record;
        std::size_t control = 0;
        TimePoint nextHeartbeatAt;
        std::optional<TimePoint> leftAt;
    };

    struct Delayed
    {
        std::size_t control = 0;
        BackendRecord record;
    };

    RegistryOptions optionsFor(const std::string &name, Incarnation incarnation) const
    {
        RegistryOptions options{.self = name, .incarnation = incarnation, .lease = 3 * heartbeatInterval};
        if (this->disabled == Safeguard::RetiredServers) {
            options.retired.retention = 0ms;
        }
        return options;
    }

    static std::string nameOf(std::size_t control)
    {
        return "c" + std::to_string(control);
    }

    void startControl(std::size_t index)
    {
        Control &control = this->controls[index];
        control.fault = Fault::None;
        control.registry.emplace(this->optionsFor(nameOf(index), ++control.incarnation));
        for (const BackendRecord &record : control.savedServers) {
            if (this->disabled == Safeguard::RememberedLeases) {
                (void)control.registry->announce(record, this->now);
            } else {
                control.registry->remember(record, this->now);
            }
        }
        control.registry->addRetired(control.savedRetired, this->now);
    }

    void startFront(std::size_t index)
    {
        this->fronts[index].registry.emplace(this->optionsFor("f" + std::to_string(index), 1));
        this->fronts[index].startedAt = this->now;
    }

    void startServer(std::size_t index)
    {
        Server &server = this->servers[index];
        const Incarnation previous = server.record.incarnation;
        server = Server{};
        server.record.key = {.service = "desk", .group = "", .address = "10.0.0." + std::to_string(index) + ":80"};
        server.record.identity = "i-" + std::to_string(index);
        server.record.incarnation = previous + 1;
        server.record.state = BackendState::Ready;
        server.control = this->random.below(controlCount);
        server.nextHeartbeatAt = this->now + std::chrono::milliseconds(this->random.below(heartbeatInterval.count()));
    }

    void advance(std::chrono::milliseconds duration)
    {
        const TimePoint end = this->now + duration;
        while (this->now < end && this->violation.empty()) {
            this->now += tick;
            this->deliverDelayed();
            for (Server &server : this->servers) {
                this->renew(server);
            }
            for (std::size_t index = 0; index < controlCount; ++index) {
                this->runControl(index);
            }
            for (Front &front : this->fronts) {
                this->runFront(front);
            }
        }
    }

    void deliverDelayed()
    {
        while (!this->delayed.empty() && this->delayed.begin()->first <= this->now) {
            Control &control = this->controls[this->delayed.begin()->second.control];
            if (control.reachable()) {
                (void)control.registry->announce(this->delayed.begin()->second.record, this->now);
            }
            this->delayed.erase(this->delayed.begin());
        }
    }

    void renew(Server &server)
    {
        if (server.leftAt || this->now < server.nextHeartbeatAt) {
            return;
        }
        server.nextHeartbeatAt = this->now + heartbeatInterval;
        ++server.record.sequence;
        if (this->random.below(10) == 0) {
            // A copy arrives late, possibly after the server has left.
            this->delayed.emplace(this->now + std::chrono::milliseconds(this->random.below(8000)),
                                  Delayed{.control = this->random.below(controlCount), .record = server.record});
        }
        for (std::size_t attempt = 0; attempt < controlCount; ++attempt) {
            Control &control = this->controls[server.control];
            if (control.fault == Fault::Paused) {
                // Read when the process goes on.
                this->delayed.emplace(this->pauseEnd + tick, Delayed{.control = server.control, .record = server.record});
            }
            if (control.reachable()) {
                (void)control.registry->announce(server.record, this->now);
                return;
            }
            server.control = (server.control + 1) % controlCount;
        }
    }

    void runControl(std::size_t index)
    {
        Control &control = this->controls[index];
        if (control.fault == Fault::Killed || control.fault == Fault::Paused) {
            return;
        }
        for (std::size_t other = 0; other < controlCount; ++other) {
            if (other != index && control.reachable() && this->controls[other].reachable()) {
                this->poll(*control.registry, other);
            }
        }
        control.registry->expire(this->now);
        if (this->now - control.savedAt >= hintInterval) {
            control.savedAt = this->now;
            control.savedServers = control.registry->visible();
            control.savedRetired = control.registry->retiredServers();
        }
    }

    void poll(BackendRegistry &subscriber, std::size_t index)
    {
        const BackendRegistry &origin = *this->controls[index].registry;
        const auto [incarnation, through] = subscriber.replicationPosition(nameOf(index));
        subscriber.renewOrigin(nameOf(index), origin.incarnation(), this->now);
        const std::uint64_t known = incarnation == origin.incarnation() ? through : 0;
        if (known < origin.newestChange() || known == 0) {
            subscriber.applyUpdate(origin.updateSince(known), this->now);
        }
    }

    void runFront(Front &front)
    {
        for (std::size_t index = 0; index < controlCount; ++index) {
            if (this->controls[index].reachable()) {
                this->poll(*front.registry, index);
            }
        }
        front.registry->expire(this->now);
        if (this->now - front.startedAt < contactTime) {
            return;
        }
        for (const BackendRecord &record : front.registry->visible()) {
            for (const Server &server : this->servers) {
                const bool same = server.record.identity == record.identity && server.record.incarnation == record.incarnation;
                if (same && server.leftAt && record.state == BackendState::Ready && this->now - *server.leftAt > drainTime) {
                    this->violation = record.identity + " gets requests long after it has left";
                }
            }
        }
    }

    // One control process is disturbed while servers leave, others start again and a front may start.
    void disturb()
    {
        const std::size_t index = this->random.below(controlCount);
        Control &control = this->controls[index];
        control.fault = std::array{Fault::Killed, Fault::Paused, Fault::CutOff}.at(this->random.below(3));
        const std::chrono::milliseconds duration(1000 + this->random.below(30000));
        this->pauseEnd = this->now + duration;
        const std::chrono::milliseconds before(this->random.below(static_cast<std::size_t>(duration.count())));
        this->advance(before);
        this->leaveOne(index);
        if (this->random.below(3) == 0) {
            this->startFront(this->random.below(frontCount));
        }
        this->advance(duration - before);
        const bool diskLost = this->random.below(4) == 0;
        if (control.fault == Fault::Killed) {
            if (diskLost) {
                control.savedServers.clear();
                control.savedRetired.clear();
            }
            this->startControl(index);
        }
        control.fault = Fault::None;
        this->advance(std::chrono::milliseconds(this->random.below(10000)));
        this->leaveOne(controlCount);
        this->advance(contactTime);
        for (std::size_t server = 0; server < serverCount; ++server) {
            if (this->servers[server].leftAt && this->random.below(3) == 0) {
                this->startServer(server);
            }
        }
    }

    // The acknowledging process isn't the disturbed one.
    void leaveOne(std::size_t disturbed)
    {
        std::size_t control = this->random.below(controlCount);
        control = control == disturbed ? (control + 1) % controlCount : control;
        Server &server = this->servers[this->random.below(serverCount)];
        if (server.leftAt) {
            return;
        }
        BackendRecord leaving = server.record;
        if (this->random.below(2) == 0) {
            leaving.state = BackendState::Draining;
            ++leaving.sequence;
        } else {
            leaving.state = BackendState::Stopped;
            leaving.sequence = std::numeric_limits<std::int64_t>::max();
        }
        if (this->controls[control].registry->announce(leaving, this->now)) {
            server.leftAt = this->now;
        }
    }

    void checkLiving()
    {
        for (const Front &front : this->fronts) {
            for (const Server &server : this->servers) {
                bool listed = false;
                for (const BackendRecord &record : front.registry->visible()) {
                    listed = listed || (record.identity == server.record.identity && record.state == BackendState::Ready);
                }
                if (!server.leftAt && !listed && this->violation.empty()) {
                    this->violation = server.record.identity + " announces itself and isn't used";
                }
            }
        }
    }

    RandomSource random;
    Safeguard disabled;
    TimePoint now{1h};
    TimePoint pauseEnd;
    std::array<Control, controlCount> controls;
    std::array<Front, frontCount> fronts;
    std::array<Server, serverCount> servers;
    std::multimap<TimePoint, Delayed> delayed;
    std::string violation;
};

// More seeds by hand: GALENAWELL_DEPARTURE_SEEDS=5000.
unsigned seedCount()
{
    const char *text = std::getenv("GALENAWELL_DEPARTURE_SEEDS");
    return text == nullptr ? seeds : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

} // namespace

// Guards against requests to servers that have left, which a control process brings back from its recovery file, from before a
// pause, or with a delayed announcement.
Test(departures, servers_that_have_left_stay_away_whatever_returns)
{
    const unsigned count = seedCount();
    for (unsigned seed = 1; seed <= count; ++seed) {
        const std::string violation = Simulation(seed, Safeguard::None).run();
        cr_assert(violation.empty(), "seed %u: %s", seed, violation.c_str());
    }
    recordFaultCell("registry", "older knowledge returns", "drain", count);
}

// Shows that the invariants see a missing safeguard.
Test(departures, without_a_record_of_retired_servers_some_return)
{
    unsigned violations = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        violations += Simulation(seed, Safeguard::RetiredServers).run().empty() ? 0 : 1;
    }
    cr_assert_gt(violations, 0U);
}

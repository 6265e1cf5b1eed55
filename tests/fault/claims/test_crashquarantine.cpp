// Requests that crash servers, beside many that don't: seven fronts, three control processes and the replicas of one service
// under a simulated clock, with mass crashes and reset connections, from one seed.
#include "fault/faultlog.h"
#include "galenawell/claims/crashwatch.h"
#include "galenawell/claims/suspectcontents.h"
#include "galenawell/core/randomsource.h"

#include <array>
#include <criterion/criterion.h>
#include <optional>
#include <vector>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t frontCount = 7;
constexpr std::size_t controlCount = 3;
constexpr std::size_t serverCount = 27;
constexpr std::size_t contentCount = 400;
constexpr auto tick = 10ms;
// Fronts report to the control processes and get their lists at this interval.
constexpr auto pollInterval = 500ms;
constexpr auto restartInterval = 2s;
constexpr auto workTime = 100ms;
constexpr unsigned seeds = 50;
// The stated limits: retries of one request later than this time after its third crash.
constexpr auto contactTime = 4000ms;
constexpr std::size_t crashesBeforeLimit = 3;
constexpr std::size_t allowedLateRetries = 3;

struct SimulationOptions
{
    unsigned seed = 1;
    bool poison = false;
    // All servers of a third crash at once, every few seconds.
    bool massCrashes = false;
    // Connections are reset although no server ends.
    bool resets = false;
    // Fronts are replaced by new ones without memory.
    bool frontsRestart = false;
    bool sharesSuspects = true;
    // Once, in the middle: all fronts at once, then the control processes one after the other.
    bool rollingRestart = false;
    // Control processes tell one another what they know.
    bool sharesEvidence = true;
};

struct Result
{
    std::size_t requests = 0;
    std::size_t lost = 0;
    std::size_t latePoisonRetries = 0;
    // Retries of other requests that were withheld.
    std::size_t innocentWithheld = 0;
};

class Simulation
{
public:
    explicit Simulation(SimulationOptions simulationOptions)
        : options(simulationOptions)
        , random(simulationOptions.seed)
    {
        for (SuspectContents &control : this->controls) {
            control = newControl();
        }
    }

    Result run(std::chrono::milliseconds duration)
    {
        const TimePoint end = this->now + duration;
        TimePoint nextPoison = this->now + 1s;
        TimePoint nextMassCrash = this->now + 3s;
        TimePoint nextPoll = this->now;
        TimePoint nextRestart = this->now + duration / 2;
        std::size_t restarted = 0;
        while (this->now < end) {
            this->now += tick;
            this->startServers();
            this->finishRuns();
            this->start("content" + std::to_string(this->random.below(contentCount)));
            // Else it would bring new evidence between the restarts.
            const bool restarting = restarted > 0 && restarted <= controlCount + 1;
            if (this->options.poison && !restarting && this->now >= nextPoison) {
                nextPoison = this->now + std::chrono::milliseconds(200 + this->random.below(3000));
                this->start("poison");
            }
            if (this->options.massCrashes && this->now >= nextMassCrash) {
                nextMassCrash = this->now + 7s;
                for (std::size_t server = 0; server < serverCount; server += 3) {
                    this->crash(server + this->random.below(3));
                }
            }
            if (this->options.resets && this->random.below(20) == 0) {
                this->reset(this->random.below(serverCount));
            }
            if (this->options.frontsRestart && this->random.below(500) == 0) {
                this->fronts[this->random.below(frontCount)] = Front{};
            }
            if (this->options.rollingRestart && this->now >= nextRestart && restarted <= controlCount + 1) {
                nextRestart = this->now + restartInterval;
                this->restart(restarted++);
            }
            if (this->now >= nextPoll) {
                nextPoll = this->now + pollInterval;
                this->poll();
            }
        }
        return this->result;
    }

private:
    static SuspectContents newControl()
    {
        return SuspectContents(CrashSuspicionsOptions{.suspectTime = 10min, .maximumEntries = 1000});
    }

    struct Front
    {
        CrashWatch watch;
        std::array<std::uint64_t, controlCount> reported{};
    };

    struct Server
    {
        Incarnation incarnation = 1;
        std::optional<TimePoint> backAt;
    };

    struct Run
    {
        std::size_t front = 0;
        std::size_t server = 0;
        ContentDigest content;
        TimePoint sentAt;
        bool retry = false;
    };

    static ReplicaKey keyOf(std::size_t server)
    {
        return {.service = "archive", .group = "", .address = std::to_string(server)};
    }

    void startServers()
    {
        for (std::size_t index = 0; index < serverCount; ++index) {
            Server &server = this->servers[index];
            if (server.backAt && this->now >= *server.backAt) {
                server.backAt.reset();
                ++server.incarnation;
                this->registryChanged = true;
            }
        }
        if (std::exchange(this->registryChanged, false)) {
            std::map<std::string, Incarnation> registered;
            for (std::size_t index = 0; index < serverCount; ++index) {
                registered[std::to_string(index)] = this->servers[index].incarnation;
            }
            for (Front &front : this->fronts) {
                front.watch.onRegistered(registered, this->now);
            }
        }
    }

    void start(const ContentDigest &content)
    {
        ++this->result.requests;
        this->send(this->random.below(frontCount), content, false);
    }

    void send(std::size_t frontIndex, const ContentDigest &content, bool retry)
    {
        Front &front = this->fronts[frontIndex];
        for (int attempt = 0; attempt < 4; ++attempt) {
            const std::size_t server = this->random.below(serverCount);
            if (this->servers[server].backAt) {
                front.watch.onServerEnded(std::to_string(server), this->now);
                continue;
            }
            this->runs.push_back({.front = frontIndex, .server = server, .content = content, .sentAt = this->now, .retry = retry});
            if (content == "poison") {
                this->countPoison(retry);
                this->crash(server);
            }
            return;
        }
    }

    void countPoison(bool retry)
    {
        const bool limited = this->poisonLimitAt && this->now > *this->poisonLimitAt;
        this->result.latePoisonRetries += retry && limited ? 1 : 0;
        if (++this->poisonCrashes == crashesBeforeLimit) {
            this->poisonLimitAt = this->now + contactTime;
        }
    }

    void finishRuns()
    {
        std::vector<Run> current = std::exchange(this->runs, {});
        for (const Run &run : current) {
            if (this->now - run.sentAt < workTime) {
                this->runs.push_back(run);
                continue;
            }
            CrashWatch &watch = this->fronts[run.front].watch;
            watch.onReply(keyOf(run.server), this->servers[run.server].incarnation, run.sentAt);
            watch.onSuccess(run.content, this->now);
        }
    }

    void crash(std::size_t server)
    {
        if (!this->servers[server].backAt) {
            this->servers[server].backAt = this->now + std::chrono::milliseconds(2000 + this->random.below(2000));
            this->reset(server);
        }
    }

    void reset(std::size_t server)
    {
        std::vector<Run> current = std::exchange(this->runs, {});
        for (const Run &run : current) {
            if (run.server == server) {
                this->lose(run);
            } else {
                this->runs.push_back(run);
            }
        }
    }

    void lose(const Run &run)
    {
        ++this->result.lost;
        CrashWatch &watch = this->fronts[run.front].watch;
        watch.onLost({.digest = run.content, .replica = keyOf(run.server), .replicaIncarnation = this->servers[run.server].incarnation},
                     this->now);
        if (run.retry) {
            return;
        }
        if (!watch.isSuspect(run.content)) {
            this->send(run.front, run.content, true);
        } else if (run.content != "poison") {
            ++this->result.innocentWithheld;
        }
    }

    // First all fronts, then one control process with each call, and then the request that crashes servers comes many times.
    void restart(std::size_t step)
    {
        if (step == 0) {
            this->fronts = {};
            return;
        }
        if (step > controlCount) {
            for (int arrival = 0; arrival < 12; ++arrival) {
                this->start("poison");
            }
            return;
        }
        this->controls[step - 1] = newControl();
        for (Front &front : this->fronts) {
            front.reported[step - 1] = 0;
            front.watch.setSuspects("control" + std::to_string(step - 1), {});
        }
    }

    void shareEvidence()
    {
        for (SuspectContents &teller : this->controls) {
            for (const TimedEvidence &known : teller.evidence(this->now)) {
                for (SuspectContents &listener : this->controls) {
                    listener.add(known.evidence, known.at);
                }
            }
        }
    }

    void poll()
    {
        if (this->options.sharesEvidence) {
            this->shareEvidence();
        }
        for (Front &front : this->fronts) {
            front.watch.expire(this->now);
            for (std::size_t index = 0; index < controlCount; ++index) {
                const CrashReport report = front.watch.report(front.reported[index]);
                if (front.reported[index] != report.number) {
                    front.reported[index] = report.number;
                    for (const ContentDigest &content : report.cleared) {
                        this->controls[index].clear(content, this->now);
                    }
                    for (const CrashEvidence &evidence : report.evidence) {
                        this->controls[index].add(evidence, this->now);
                    }
                }
                if (this->options.sharesSuspects) {
                    front.watch.setSuspects("control" + std::to_string(index), this->controls[index].list(this->now));
                }
            }
        }
    }

    SimulationOptions options;
    RandomSource random;
    TimePoint now{1h};
    std::array<Front, frontCount> fronts;
    std::array<SuspectContents, controlCount> controls{SuspectContents({}), SuspectContents({}), SuspectContents({})};
    std::array<Server, serverCount> servers;
    std::vector<Run> runs;
    bool registryChanged = false;
    std::size_t poisonCrashes = 0;
    std::optional<TimePoint> poisonLimitAt;
    Result result;
};

} // namespace

// Guards against a request that crashes servers and comes again at any front: it takes a second server at every arrival.
Test(crashquarantine, a_request_that_crashes_servers_gets_no_late_retries)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const Result result
            = Simulation(
                  {.seed = seed, .poison = true, .massCrashes = seed % 2 == 0, .resets = seed % 3 == 0, .frontsRestart = seed % 5 == 0})
                  .run(60s);
        cr_assert_leq(result.latePoisonRetries, allowedLateRetries, "seed %u: %zu late retries", seed, result.latePoisonRetries);
    }
    recordFaultCell("crash quarantine", "request crashes servers", "retry", seeds);
}

// Guards against a rolling restart of all processes that makes them forget which requests crash servers (review/9): those that
// hold the evidence are gone before those that only know the list.
Test(crashquarantine, a_rolling_restart_forgets_no_request_that_crashes_servers)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const Result result
            = Simulation({.seed = seed, .poison = true, .massCrashes = seed % 2 == 0, .resets = seed % 3 == 0, .rollingRestart = true})
                  .run(60s);
        cr_assert_leq(result.latePoisonRetries, allowedLateRetries, "seed %u: %zu late retries", seed, result.latePoisonRetries);
    }
    recordFaultCell("crash quarantine", "rolling restart", "retry", seeds);
}

// Shows that the test above sees control processes that don't tell one another.
Test(crashquarantine, without_shared_evidence_a_rolling_restart_brings_late_retries)
{
    std::size_t highest = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        highest = std::max(
            highest,
            Simulation({.seed = seed, .poison = true, .rollingRestart = true, .sharesEvidence = false}).run(60s).latePoisonRetries);
    }
    cr_assert_gt(highest, allowedLateRetries);
}

// Guards against a suspicion that control processes prolong by telling one another of it.
Test(crashquarantine, told_evidence_ends_with_the_evidence_that_it_was_told_from)
{
    const CrashSuspicionsOptions options{.suspectTime = 10min, .maximumEntries = 1000};
    std::array<SuspectContents, 2> controls{SuspectContents(options), SuspectContents(options)};
    const TimePoint start{1h};
    for (const char *server : {"1", "2"}) {
        controls[0].add({.digest = "poison", .replica = {.service = "s", .group = "", .address = server}, .replicaIncarnation = 1}, start);
    }
    TimePoint now = start;
    for (int step = 0; step < 1300; ++step) {
        now += 500ms;
        SuspectContents &teller = controls[static_cast<std::size_t>(step % 2)];
        SuspectContents &listener = controls[static_cast<std::size_t>(1 - step % 2)];
        for (const TimedEvidence &known : teller.evidence(now)) {
            listener.add(known.evidence, known.at);
        }
        if (step % 100 == 50) {
            listener = SuspectContents(options);
        }
        const bool listed = !controls[0].list(now).empty() || !controls[1].list(now).empty();
        cr_assert(!listed || now - start < options.quarantine);
    }
    cr_assert(controls[0].list(now).empty() && controls[1].list(now).empty());
}

// Guards against innocent requests that lose their retries because they ran on servers that crashed, or whose connections were
// reset. Of a thousand lost requests at most one may.
Test(crashquarantine, mass_crashes_and_resets_make_no_other_request_suspect)
{
    std::size_t lost = 0;
    std::size_t withheld = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const Result result = Simulation({.seed = seed, .poison = seed % 2 == 0, .massCrashes = true, .resets = true}).run(60s);
        lost += result.lost;
        withheld += result.innocentWithheld;
    }
    cr_assert_gt(lost, 1000U);
    cr_assert_leq(withheld * 1000, lost, "%zu of %zu lost requests weren't retried", withheld, lost);
    recordFaultCell("crash quarantine", "mass crashes and resets", "retry", seeds);
}

// Shows that the first test sees fronts that don't learn of the evidence of others.
Test(crashquarantine, without_the_shared_list_late_retries_go_on)
{
    const Result result = Simulation({.seed = 1, .poison = true, .sharesSuspects = false}).run(60s);
    cr_assert_gt(result.latePoisonRetries, allowedLateRetries);
}

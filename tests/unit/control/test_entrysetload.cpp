// Plays the load of one data centre against the directory, and checks what callers get: how long their requests wait for a
// front's processor, and whether that front has recently sent something to the servers.
#include "galenawell/control/frontdirectory.h"
#include "galenawell/core/randomsource.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));
// Processor time of one request to many groups, and the time for which a front keeps what it learnt of the servers.
constexpr auto requestTime = 25ms;
constexpr auto knowledgeTime = 1s;

struct CallerView
{
    std::size_t requests = 0;
    Duration waited{0};
    // Requests at a front that had another one shortly before.
    std::size_t informed = 0;

    double informedShare() const
    {
        return static_cast<double>(this->informed) / static_cast<double>(this->requests);
    }

    std::chrono::milliseconds meanWait() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(this->waited / static_cast<std::int64_t>(this->requests));
    }
};

// Fronts with one processor each, and callers that ask the directory every two seconds.
class DataCentre
{
public:
    DataCentre(std::size_t frontCount, EntrySetSizeOptions entrySet)
        : directory({.entrySet = entrySet, .startedAt = start})
    {
        for (std::size_t index = 0; index < frontCount; ++index) {
            const std::string name = "f" + std::to_string(index);
            this->fronts[name]
                = Front{.report = {.instance = name, .incarnation = 1, .callerAddress = name, .dataCentre = "a", .accepting = true}};
        }
        this->reportAll();
    }

    CallerView play(std::size_t requestsPerSecond, std::chrono::seconds duration)
    {
        CallerView view;
        std::vector<std::vector<std::string>> cached(20);
        for (const TimePoint end = this->now + duration; this->now < end; this->now += 1ms) {
            const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(this->now - start).count();
            if (elapsed % 250 == 0) {
                this->reportAll();
            }
            // The callers' refreshes are spread over the cache duration.
            if (elapsed % 100 == 0 || cached.front().empty()) {
                for (std::size_t caller = 0; caller < cached.size(); ++caller) {
                    if (cached[caller].empty() || elapsed / 100 % 20 == static_cast<std::int64_t>(caller)) {
                        cached[caller] = this->directory.entryAddresses("a", this->now);
                    }
                }
            }
            for (std::size_t request = this->arrivals(requestsPerSecond); request > 0; --request) {
                const std::vector<std::string> &entries = cached[this->random.below(cached.size())];
                this->serve(this->fronts.at(entries[this->random.below(entries.size())]), view);
            }
        }
        return view;
    }

private:
    struct Front
    {
        FrontReport report;
        TimePoint busyUntil = start;
        TimePoint lastRequestAt{};
    };

    std::size_t arrivals(std::size_t perSecond)
    {
        // Pairs with half the rate each make the arrivals irregular.
        std::size_t count = 0;
        for (int part = 0; part < 2; ++part) {
            count += this->random.below(2000) < perSecond ? 1 : 0;
        }
        return count;
    }

    void serve(Front &front, CallerView &view) const
    {
        const Duration wait = std::max<Duration>(front.busyUntil - this->now, Duration(0));
        ++view.requests;
        view.waited += wait;
        view.informed += this->now - front.lastRequestAt < knowledgeTime ? 1 : 0;
        front.busyUntil = this->now + wait + requestTime;
        front.lastRequestAt = this->now;
    }

    void reportAll()
    {
        for (auto &[name, front] : this->fronts) {
            const auto lateness
                = std::chrono::duration_cast<std::chrono::microseconds>(std::max<Duration>(front.busyUntil - this->now, Duration(0)));
            front.report.loopDelay += (lateness - front.report.loopDelay) / 4;
            this->directory.report(front.report, this->now);
        }
        this->directory.updateEntries(this->now);
    }

    FrontDirectory directory;
    std::map<std::string, Front> fronts;
    RandomSource random{11};
    TimePoint now = start;
};

// Every front is an entry, as before.
constexpr EntrySetSizeOptions allFronts{.minimumSize = 1000};
// The set doesn't follow the load.
constexpr EntrySetSizeOptions fixedSize{.busyDelay = 1h};

} // namespace

// Guards against requests at fronts that know nothing of the servers, because the load is spread over all fronts.
Test(entryset_load, on_a_calm_day_most_requests_reach_an_informed_front_without_waiting)
{
    const CallerView few = DataCentre(40, {}).play(25, 60s);
    const CallerView all = DataCentre(40, allFronts).play(25, 60s);
    cr_assert_geq(few.informedShare(), 0.85);
    cr_assert_leq(all.informedShare(), 0.6);
    cr_assert_leq(few.meanWait(), 5ms);
}

// Guards against callers that wait for the processors of a few fronts during a burst, while the others stand by.
Test(entryset_load, in_a_long_burst_the_entries_grow_until_requests_hardly_wait)
{
    DataCentre following(40, {});
    DataCentre fixed(40, fixedSize);
    for (DataCentre *dataCentre : {&following, &fixed}) {
        dataCentre->play(25, 20s);
        dataCentre->play(390, 10s);
    }
    cr_assert_leq(following.play(390, 20s).meanWait(), 10ms);
    cr_assert_geq(fixed.play(390, 20s).meanWait(), 100ms);
}

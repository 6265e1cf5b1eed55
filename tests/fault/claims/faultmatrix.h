// A simulated world of processes and messages, run for every fault at every step; a world without a defence must fail.
#pragma once

#include "fault/faultlog.h"
#include "galenawell/core/clock.h"
#include "galenawell/core/randomsource.h"

#include <criterion/criterion.h>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace Galenawell::Testing {

using std::chrono::milliseconds;

class FaultSimulation
{
public:
    bool injected = false;
    std::set<std::string> violations;

protected:
    struct Process
    {
        bool alive = true;
        TimePoint frozenUntil{};
    };

    FaultSimulation(std::uint64_t seed, std::size_t step)
        : random(seed)
        , targetStep(step)
        , skip(random.below(2))
    {
    }

    void at(milliseconds when, std::function<void()> event)
    {
        this->events.emplace(this->start + when, std::move(event));
    }

    void after(std::size_t delay, std::function<void()> event)
    {
        this->events.emplace(this->now + milliseconds(delay), std::move(event));
    }

    // Runs the event unless the process was killed, and not before it has thawed.
    void runInProcess(const Process &process, const std::function<void()> &event)
    {
        if (process.alive && process.frozenUntil > this->now) {
            this->events.emplace(process.frozenUntil, [this, &process, event] { this->runInProcess(process, event); });
        } else if (process.alive) {
            event();
        }
    }

    void runUntil(milliseconds end)
    {
        while (!this->events.empty() && this->events.begin()->first < this->start + end) {
            const auto next = this->events.extract(this->events.begin());
            this->now = next.key();
            next.mapped()();
        }
    }

    void recordIfViolated(bool broken, const std::string &check)
    {
        if (broken) {
            this->violations.insert(check);
        }
    }

    // True once, for the first or the second message of the step with the fault.
    bool shouldInject(std::size_t step)
    {
        const bool hit = step == this->targetStep && !this->injected && this->skip-- == 0;
        this->injected = this->injected || hit;
        return hit;
    }

    const TimePoint start{std::chrono::hours(1)};
    TimePoint now = start;
    RandomSource random;
    std::multimap<TimePoint, std::function<void()>> events;

private:
    std::size_t targetStep;
    std::size_t skip;
};

template<typename World>
class FaultMatrix
{
public:
    explicit FaultMatrix(std::uint64_t seedsPerCell)
        : seeds(seedsPerCell)
    {
    }

    void runAll(const std::string &module) const
    {
        for (std::size_t step = 0; step < World::stepNames.size(); ++step) {
            for (std::size_t fault = 0; fault < World::faultNames.size(); ++fault) {
                this->coverCell(module, step, fault);
            }
        }
    }

    bool violatesInvariantWithout(typename World::Safeguard disabled, const std::string &check) const
    {
        const std::size_t cells = World::stepNames.size() * World::faultNames.size();
        for (std::size_t cell = 0; cell < cells; ++cell) {
            Result result = this->run(cell / World::faultNames.size(), cell % World::faultNames.size(), disabled);
            if (result.violations[check] > 0) {
                return true;
            }
        }
        return false;
    }

private:
    struct Result
    {
        unsigned injected = 0;
        std::map<std::string, unsigned> violations;
    };

    Result run(std::size_t step, std::size_t fault, typename World::Safeguard disabled) const
    {
        Result result;
        for (std::uint64_t seed = 0; seed < this->seeds; ++seed) {
            World world(seed, static_cast<typename World::Step>(step), static_cast<typename World::Fault>(fault), disabled);
            world.run();
            result.injected += world.injected ? 1 : 0;
            for (const std::string &violation : world.violations) {
                ++result.violations[violation];
            }
        }
        return result;
    }

    void coverCell(const std::string &module, std::size_t step, std::size_t fault) const
    {
        const Result result = this->run(step, fault, {});
        for (const auto &[violation, count] : result.violations) {
            cr_log_error("%s at %s: %s (%u)", World::faultNames[fault], World::stepNames[step], violation.c_str(), count);
        }
        cr_assert(result.violations.empty());
        // A step that most seeds never reach would be covered in name only.
        cr_assert(result.injected > this->seeds / 4);
        recordFaultCell(module, World::faultNames[fault], World::stepNames[step], result.injected);
    }

    std::uint64_t seeds;
};

} // namespace Galenawell::Testing

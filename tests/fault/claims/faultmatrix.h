// Discrete-event simulation of processes and messages, and a runner that injects every fault at every step. A simulation
// with a disabled safeguard must violate an invariant.
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
        , messagesToSkip(random.below(2))
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

    // Runs the event unless the process was killed; a frozen process runs it once it resumes.
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

    void recordIfViolated(bool violated, const std::string &check)
    {
        if (violated) {
            this->violations.insert(check);
        }
    }

    // True once, for the first or the second message of the target step.
    bool shouldInject(std::size_t step)
    {
        const bool inject = step == this->targetStep && !this->injected && this->messagesToSkip-- == 0;
        this->injected = this->injected || inject;
        return inject;
    }

    const TimePoint start{std::chrono::hours(1)};
    TimePoint now = start;
    RandomSource random;
    std::multimap<TimePoint, std::function<void()>> events;

private:
    std::size_t targetStep;
    std::size_t messagesToSkip;
};

template<typename Simulation>
class FaultMatrix
{
public:
    explicit FaultMatrix(std::uint64_t seedsPerCell)
        : seeds(seedsPerCell)
    {
    }

    void runAll(const std::string &module) const
    {
        for (std::size_t step = 0; step < Simulation::stepNames.size(); ++step) {
            for (std::size_t fault = 0; fault < Simulation::faultNames.size(); ++fault) {
                this->runCell(module, step, fault);
            }
        }
    }

    bool violatesInvariantWithout(typename Simulation::Safeguard disabled, const std::string &check) const
    {
        const std::size_t cells = Simulation::stepNames.size() * Simulation::faultNames.size();
        for (std::size_t cell = 0; cell < cells; ++cell) {
            Result result = this->run(cell / Simulation::faultNames.size(), cell % Simulation::faultNames.size(), disabled);
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

    Result run(std::size_t step, std::size_t fault, typename Simulation::Safeguard disabled) const
    {
        Result result;
        for (std::uint64_t seed = 0; seed < this->seeds; ++seed) {
            Simulation simulation(
                seed, static_cast<typename Simulation::Step>(step), static_cast<typename Simulation::Fault>(fault), disabled);
            simulation.run();
            result.injected += simulation.injected ? 1 : 0;
            for (const std::string &violation : simulation.violations) {
                ++result.violations[violation];
            }
        }
        return result;
    }

    void runCell(const std::string &module, std::size_t step, std::size_t fault) const
    {
        const Result result = this->run(step, fault, {});
        for (const auto &[violation, count] : result.violations) {
            cr_log_error("%s at %s: %s (%u)", Simulation::faultNames[fault], Simulation::stepNames[step], violation.c_str(), count);
        }
        cr_assert(result.violations.empty());
        // More than a quarter of the seeds must reach the step, or the cell proves nothing.
        cr_assert(result.injected > this->seeds / 4);
        recordFaultCell(module, Simulation::faultNames[fault], Simulation::stepNames[step], result.injected);
    }

    std::uint64_t seeds;
};

} // namespace Galenawell::Testing

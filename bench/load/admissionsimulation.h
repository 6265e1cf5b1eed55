// Runs the real AdmissionQueue in virtual time against a modelled backend: a fixed number of slots behind a FIFO queue
// without priorities.
#pragma once

#include "galenawell/admission/admissionqueue.h"

#include <array>
#include <boost/random/mersenne_twister.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace Galenawell::Bench {

struct Traffic
{
    // Offered requests per second; the arrivals are a Poisson process.
    double rate = 0;
    std::chrono::milliseconds deadline{1000};
    std::size_t callers = 4;
};

struct BackendModel
{
    std::size_t slots = 32;
    // Service times are log-normal.
    double medianMilliseconds = 8;
    double sigma = 0.5;
    // Factor of the service time in the middle third of the measured duration.
    double middleThirdSlowdown = 1;

    // Requests per second with every slot busy.
    double capacity() const;
};

// Parts of the admission queue that are in use in one run.
struct AdmissionVariant
{
    std::string name;
    bool usesPriorities = true;
    bool usesFloors = true;
    // Lower priorities may use only a part of the concurrency limit.
    bool capsLowerPriorities = true;
    LimitAlgorithm algorithm = LimitAlgorithm::AdditiveIncrease;
};

struct Scenario
{
    std::string name;
    std::array<Traffic, priorityCount> traffic;
    BackendModel backend;
    std::chrono::seconds warmUp{5};
    std::chrono::seconds measuredDuration{30};
};

struct PriorityResult
{
    std::uint64_t offered = 0;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    // From arrival to completion.
    std::vector<double> latenciesMs;
};

struct RunResult
{
    std::array<PriorityResult, priorityCount> byPriority;
    std::size_t finalLimit = 0;
};

class AdmissionSimulation
{
public:
    AdmissionSimulation(const Scenario &simulatedScenario, const AdmissionVariant &simulatedVariant, std::uint64_t seed);

    RunResult run();

private:
    enum class EventKind : std::uint8_t {
        Arrival,
        Completion,
        Timer,
    };

    struct Event
    {
        TimePoint at;
        EventKind kind;
        // The priority of an arrival or the ticket of a completion.
        std::uint64_t argument;

        bool operator>(const Event &other) const
        {
            return this->at > other.at;
        }
    };

    struct Request
    {
        std::size_t priority;
        TimePoint arrived;
        TimePoint started;
    };

    // False during the warm-up.
    bool isMeasuring() const;
    void handleArrival(std::size_t priority);
    void handleCompletion(Ticket ticket);
    void apply(const AdmissionActions &actions);
    void scheduleArrival(std::size_t priority);
    void dispatch(Ticket ticket);
    Duration drawServiceTime();

    Scenario scenario;
    AdmissionVariant variant;
    boost::random::mt19937_64 random;
    TimePoint begin;
    TimePoint now;
    AdmissionQueue admission;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::unordered_map<Ticket, Request> requests;
    std::deque<Ticket> backendQueue;
    std::size_t busySlots = 0;
    Ticket lastTicket = 0;
    TimePoint nextTimerAt;
    RunResult result;
};

} // namespace Galenawell::Bench

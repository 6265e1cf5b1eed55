// Drives the real AdmissionQueue in virtual time against a modelled backend: a fixed number of slots behind a first-in
// first-out queue that knows no priorities.
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

struct Backend
{
    std::size_t slots = 32;
    double medianMilliseconds = 8;
    double sigma = 0.5;
    // The service takes this many times longer in the middle third of the run.
    double middleFactor = 1;

    // Requests per second with every slot busy.
    double capacity() const;
};

struct AdmissionVariant
{
    std::string name;
    bool priorities = true;
    bool floors = true;
    // Lower priorities may use only part of the limit.
    bool shares = true;
    LimitAlgorithm algorithm = LimitAlgorithm::AdditiveIncrease;
};

struct Scenario
{
    std::string name;
    std::array<Traffic, priorityCount> traffic;
    Backend backend;
    std::chrono::seconds warmUp{5};
    std::chrono::seconds length{30};
};

struct ClassResult
{
    std::uint64_t offered = 0;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    // From arrival to the end, in milliseconds.
    std::vector<double> latencies;
};

struct RunResult
{
    std::array<ClassResult, priorityCount> classes;
    // Latest limit.
    std::size_t limit = 0;
};

class Simulation
{
public:
    Simulation(const Scenario &simulated, const AdmissionVariant &active, std::uint64_t seed);

    RunResult run();

private:
    enum class EventKind : std::uint8_t {
        Arrival,
        Completion,
        Wake,
    };

    struct Event
    {
        TimePoint at;
        EventKind kind;
        // The priority of an arrival or the ticket of a completion.
        std::uint64_t subject;

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

    // Events of the warm-up aren't counted.
    bool counting() const;
    void arrive(std::size_t priority);
    void complete(Ticket ticket);
    void apply(const AdmissionActions &actions);
    void scheduleArrival(std::size_t priority);
    void serve(Ticket ticket);
    Duration drawServiceTime();

    Scenario scenario;
    AdmissionVariant defences;
    boost::random::mt19937_64 random;
    TimePoint begin;
    TimePoint now;
    AdmissionQueue admission;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::unordered_map<Ticket, Request> requests;
    std::deque<Ticket> backendQueue;
    std::size_t busy = 0;
    Ticket lastTicket = 0;
    TimePoint scheduledWake;
    RunResult result;
};

} // namespace Galenawell::Bench

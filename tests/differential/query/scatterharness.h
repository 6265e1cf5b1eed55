// A service with known rows, and a driver that delivers scripted replies and failures to one Scatter in virtual time.
#pragma once

#include "galenawell/query/scatter.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Galenawell::Testing {

using std::chrono::microseconds;
using std::chrono::milliseconds;

inline const TimePoint testStart = TimePoint(std::chrono::hours(1));

struct TestServiceOptions
{
    std::size_t groups = 4;
    std::size_t replicas = 3;
    std::uint32_t inFlightLimit = 4;
    std::size_t rowsPerGroup = 3;
    ServiceKind kind = ServiceKind::Sharded;
};

class TestService
{
public:
    static constexpr std::uint64_t epoch = 7;
    static constexpr std::uint64_t newest = 20;

    explicit TestService(const TestServiceOptions &serviceOptions)
        : options(serviceOptions)
    {
        this->table.options.name = "search";
        this->table.options.kind = this->options.kind;
        this->table.options.hedge.minimumDelay = milliseconds(1);
        const bool pool = this->options.kind == ServiceKind::Pool;
        PartitionMap map{.service = "search", .epoch = epoch, .groups = {}};
        for (std::size_t index = 0; index < this->options.groups; ++index) {
            const std::string name = pool ? std::string() : "g" + std::to_string(index);
            const bool last = index + 1 == this->options.groups;
            map.groups.push_back({name, {index == 0 ? "" : key(index, 0), last ? "" : key(index + 1, 0)}});
            for (std::size_t replica = 0; replica < this->options.replicas; ++replica) {
                this->table.groups[name].push_back(this->makeReplica(map.groups.back(), replica));
            }
        }
        if (!pool) {
            this->table.maps.push_back(map);
        }
    }

    static std::string key(std::size_t group, std::size_t row)
    {
        return std::string(1, static_cast<char>('A' + group)) + std::to_string(row);
    }

    // Values differ between versions, so that an answer of mixed versions is detected.
    std::vector<Row> rowsOf(const std::string &group, std::uint64_t version) const
    {
        std::vector<Row> rows;
        const std::size_t index = group.empty() ? 0 : std::stoul(group.substr(1));
        for (std::size_t row = 0; row < this->options.rowsPerGroup; ++row) {
            rows.push_back({key(index, row), static_cast<double>(1 + version * 1000 + index * 10 + row)});
        }
        return rows;
    }

    Subreply reply(const SubrequestSend &send, std::uint64_t version) const
    {
        Subreply reply{.subrequestId = send.subrequestId,
                       .snapshot = {epoch, version},
                       .group = send.group,
                       .range = {},
                       .rows = {},
                       .aggregates = {}};
        if (!this->table.maps.empty()) {
            for (const PartitionGroup &group : this->table.maps.front().groups) {
                reply.range = group.name == send.group ? group.range : reply.range;
            }
        }
        reply.rows = this->rowsOf(send.group, version);
        std::reverse(reply.rows.begin(), reply.rows.end());
        reply.aggregates = aggregatesOf(reply.rows);
        return reply;
    }

    Subreply reply(const SubrequestSend &send) const
    {
        return this->reply(send, send.snapshot.version);
    }

    static Aggregates aggregatesOf(const std::vector<Row> &rows)
    {
        Aggregates aggregates;
        for (const Row &row : rows) {
            const double value = row.value.get<double>();
            ++aggregates.count;
            aggregates.sum += value;
            aggregates.minimum = std::min(aggregates.minimum.value_or(value), value);
            aggregates.maximum = std::max(aggregates.maximum.value_or(value), value);
        }
        return aggregates;
    }

    // Reference implementation: queries the groups in sequence.
    Answer sequentialAnswer(const Snapshot &snapshot, const std::set<std::string> &missing) const
    {
        Answer answer{.snapshot = snapshot, .coverage = {}, .rows = {}, .aggregates = {}};
        for (const auto &[name, replicas] : this->table.groups) {
            ++answer.coverage.total;
            if (missing.contains(name)) {
                answer.coverage.missing.push_back(name);
                continue;
            }
            ++answer.coverage.answered;
            for (Row &row : this->rowsOf(name, snapshot.version)) {
                answer.rows.push_back(std::move(row));
            }
        }
        answer.aggregates = aggregatesOf(answer.rows);
        return answer;
    }

    std::uint64_t slotsInUse() const
    {
        std::uint64_t taken = 0;
        for (const auto &[name, replicas] : this->table.groups) {
            for (const Replica &replica : replicas) {
                taken += replica.health->inFlight();
            }
        }
        return taken;
    }

    TestServiceOptions options;
    ServiceTable table;

private:
    Replica makeReplica(const PartitionGroup &group, std::size_t number) const
    {
        Replica replica;
        replica.record.key = {"search", group.name, "127.0.0.1:" + std::to_string(1000 + number)};
        replica.record.dataCentre = "dc" + std::to_string(number);
        replica.record.state = BackendState::Ready;
        replica.record.epoch = epoch;
        replica.record.range = group.range;
        replica.record.versions = {newest - 1, newest};
        replica.health = std::make_shared<ReplicaHealth>(EjectionOptions{}, testStart - std::chrono::minutes(5));
        replica.inFlightLimit = this->options.inFlightLimit;
        return replica;
    }
};

// Empty if the answer equals the reference implementation's for the groups that it reports as answered.
inline std::string describeMismatch(const Answer &answer, const TestService &service, bool partialAllowed)
{
    const std::set<std::string> missing(answer.coverage.missing.begin(), answer.coverage.missing.end());
    if (!missing.empty() && !partialAllowed) {
        return "a partial answer that the caller didn't allow";
    }
    const Answer expected = service.sequentialAnswer(answer.snapshot, missing);
    if (toJson(answer) != toJson(expected)) {
        return "got " + toJson(answer).dump() + " instead of " + toJson(expected).dump();
    }
    return {};
}

class ScatterDriver
{
public:
    // Schedules the reply to, or the failure of, one subrequest.
    using Behaviour = std::function<void(const SubrequestSend &, ScatterDriver &)>;

    ScatterDriver(TestService &testService,
                  ScatterOptions scatterOptions,
                  Behaviour chosenBehaviour,
                  std::uint64_t seed,
                  std::shared_ptr<ServicePolicies> shared = nullptr)
        : service(testService)
        , policies(shared ? std::move(shared) : std::make_shared<ServicePolicies>(testService.table.options))
        , scatter(std::move(scatterOptions), nullptr, testService.table, this->policies, seed)
        , behaviour(std::move(chosenBehaviour))
    {
    }

    void replyAfter(Duration delay, Subreply reply)
    {
        this->events.emplace(this->now + delay, [this, delay, reply](TimePoint at) {
            this->deliveredGroups.insert(reply.group);
            return this->scatter.onReply(reply, std::chrono::duration_cast<microseconds>(delay), LoadReport{}, at);
        });
    }

    void failAfter(Duration delay, std::uint64_t subrequestId, RetryReason reason, bool countsAsReplicaFailure = true)
    {
        this->events.emplace(this->now + delay, [this, subrequestId, reason, countsAsReplicaFailure](TimePoint at) {
            return this->scatter.onFailure(subrequestId, {.reason = reason, .countsAsReplicaFailure = countsAsReplicaFailure}, at);
        });
    }

    // Runs until no event or timer is left, also after the outcome, so that late replies are delivered too.
    void run()
    {
        this->apply(this->scatter.start(this->now));
        for (std::size_t step = 0; step < maximumSteps; ++step) {
            const bool timerFirst = this->nextTimerAt && (this->events.empty() || *this->nextTimerAt <= this->events.begin()->first);
            if (timerFirst) {
                this->now = std::max(this->now, *this->nextTimerAt);
                this->nextTimerAt.reset();
                this->apply(this->scatter.onTimer(this->now));
            } else if (!this->events.empty()) {
                const auto event = this->events.extract(this->events.begin());
                this->now = event.key();
                this->apply(event.mapped()(this->now));
            } else {
                return;
            }
        }
    }

    std::size_t countOf(RetryReason reason) const
    {
        return static_cast<std::size_t>(std::count(this->retries.begin(), this->retries.end(), reason));
    }

    TestService &service;
    std::shared_ptr<ServicePolicies> policies;
    Scatter scatter;
    Behaviour behaviour;
    TimePoint now = testStart;
    std::optional<TimePoint> nextTimerAt;
    std::optional<ScatterOutcome> outcome;
    std::optional<TimePoint> endedAt;
    std::size_t outcomes = 0;
    std::vector<SubrequestSend> sends;
    std::vector<RetryReason> retries;
    std::set<std::uint64_t> cancelled;
    std::set<std::string> deliveredGroups;

private:
    static constexpr std::size_t maximumSteps = 100'000;

    std::multimap<TimePoint, std::function<ScatterActions(TimePoint)>> events;

    void apply(ScatterActions actions)
    {
        this->cancelled.insert(actions.cancel.begin(), actions.cancel.end());
        this->retries.insert(this->retries.end(), actions.retries.begin(), actions.retries.end());
        if (actions.nextTimerAt) {
            this->nextTimerAt = actions.nextTimerAt;
        }
        if (actions.outcome) {
            this->outcome = std::move(actions.outcome);
            this->endedAt = this->now;
            this->nextTimerAt.reset();
            ++this->outcomes;
        }
        for (const SubrequestSend &send : actions.send) {
            this->sends.push_back(send);
            this->behaviour(send, *this);
        }
    }
};

} // namespace Galenawell::Testing

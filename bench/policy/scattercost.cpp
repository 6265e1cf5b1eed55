#include "scattercost.h"

#include "galenawell/query/scatter.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <vector>

namespace Galenawell::Bench {

namespace {

constexpr std::array<std::size_t, 4> groupCounts{10, 50, 150, 310};
constexpr std::size_t replicasPerGroup = 3;
constexpr std::size_t rowsPerGroup = 10;
// Subrequests per measurement, so that each takes at least 0.1 s.
constexpr std::size_t measuredSubrequests = 60'000;

const TimePoint begin = TimePoint(std::chrono::hours(1));

double processorMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

std::string keyOf(std::size_t group, std::size_t row)
{
    return std::to_string(1000 + group) + "/" + std::to_string(1000 + row);
}

std::shared_ptr<RoutingTable> makeTable(std::size_t groups)
{
    auto table = std::make_shared<RoutingTable>();
    ServiceTable &service = table->services["search"];
    PartitionMap map{.service = "search", .epoch = 1, .groups = {}};
    for (std::size_t index = 0; index < groups; ++index) {
        const std::string first = index == 0 ? "" : std::to_string(1000 + index);
        const std::string next = index + 1 == groups ? "" : std::to_string(1001 + index);
        map.groups.push_back({"group-" + std::to_string(index), {first, next}});
        for (std::size_t number = 0; number < replicasPerGroup; ++number) {
            Replica replica;
            replica.record.key = {"search", map.groups.back().name, "10.0.0." + std::to_string(number) + ":8080"};
            replica.record.state = BackendState::Ready;
            replica.record.epoch = 1;
            replica.record.versions = {1, 2};
            replica.record.range = map.groups.back().range;
            replica.health = std::make_shared<ReplicaHealth>(EjectionOptions{}, begin - std::chrono::minutes(5));
            replica.inFlightLimit = 5;
            service.groups[map.groups.back().name].push_back(std::move(replica));
        }
    }
    service.maps.push_back(std::move(map));
    return table;
}

std::vector<Subreply> makeReplies(const std::vector<SubrequestSend> &sends)
{
    std::vector<Subreply> replies;
    for (std::size_t index = 0; index < sends.size(); ++index) {
        Subreply reply;
        reply.subrequestId = sends[index].subrequestId;
        reply.snapshot = sends[index].snapshot;
        reply.group = sends[index].group;
        reply.range = sends[index].replica->record.range;
        reply.aggregates = Aggregates{.count = rowsPerGroup, .sum = 1, .minimum = 1, .maximum = 1};
        for (std::size_t row = 0; row < rowsPerGroup; ++row) {
            reply.rows.push_back({keyOf(index, row), static_cast<double>(row)});
        }
        replies.push_back(std::move(reply));
    }
    return replies;
}

struct Cost
{
    // Microseconds of one query.
    double startTime = 0;
    double replyTime = 0;
};

Cost measure(std::size_t groups, std::uint64_t seed)
{
    const std::shared_ptr<RoutingTable> table = makeTable(groups);
    const ServiceTable &service = *table->findService("search");
    const auto policies = std::make_shared<ServicePolicies>(service.options);
    const std::size_t queries = measuredSubrequests / groups;
    Cost cost;
    for (std::size_t query = 0; query < queries; ++query) {
        const double beforeStart = processorMicroseconds();
        auto scatter = std::make_unique<Scatter>(
            ScatterOptions{.requestId = {}, .deadline = begin + std::chrono::seconds(2)}, table, service, policies, seed + query);
        const ScatterActions started = scatter->start(begin);
        const double afterStart = processorMicroseconds();
        // Excludes the time to build the replies.
        std::vector<Subreply> replies = makeReplies(started.send);
        const double beforeReplies = processorMicroseconds();
        for (Subreply &reply : replies) {
            const ScatterActions actions
                = scatter->onReply(std::move(reply), std::chrono::milliseconds(4), LoadReport{}, begin + std::chrono::milliseconds(4));
        }
        scatter.reset();
        cost.startTime += afterStart - beforeStart;
        cost.replyTime += processorMicroseconds() - beforeReplies;
    }
    cost.startTime /= static_cast<double>(queries);
    cost.replyTime /= static_cast<double>(queries);
    return cost;
}

double medianOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

} // namespace

void printScatterCost(std::size_t repetitions)
{
    std::printf("\nProcessor time of Scatter, %zu rows per reply, %zu replicas per group, median (range) of %zu runs\n",
                rowsPerGroup,
                replicasPerGroup,
                repetitions);
    std::printf("%8s %14s %14s %28s\n", "groups", "start us", "replies us", "us per subrequest");
    std::vector<double> medians;
    for (const std::size_t groups : groupCounts) {
        std::vector<double> starts;
        std::vector<double> replies;
        std::vector<double> perSubrequest;
        for (std::size_t repetition = 0; repetition < repetitions; ++repetition) {
            const Cost cost = measure(groups, repetition);
            starts.push_back(cost.startTime);
            replies.push_back(cost.replyTime);
            perSubrequest.push_back((cost.startTime + cost.replyTime) / static_cast<double>(groups));
        }
        const auto [least, most] = std::minmax_element(perSubrequest.begin(), perSubrequest.end());
        medians.push_back(medianOf(perSubrequest) * static_cast<double>(groups));
        std::printf(
            "%8zu %14.1f %14.1f %12.3f (%.3f-%.3f)\n", groups, medianOf(starts), medianOf(replies), medianOf(perSubrequest), *least, *most);
    }
    const double slope = (medians.back() - medians.front()) / static_cast<double>(groupCounts.back() - groupCounts.front());
    std::printf("slope from %zu to %zu groups: %.3f us per group\n", groupCounts.front(), groupCounts.back(), slope);
}

} // namespace Galenawell::Bench

// Servers that say they leave or ask for a pause, while tables are rebuilt, servers vanish from the registry and come back,
// restart, and are still used by running requests with older tables. No subrequest may reach a server that doesn't want one.
#include "galenawell/front/routetables.h"
#include "galenawell/query/recordmerger.h"
#include "galenawell/routing/serverstate.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));
const std::vector<std::string> groups{"g0", "g1", "g2"};
constexpr std::size_t serversPerGroup = 3;

RouteConfiguration configuration()
{
    Route route{.name = "r", .host = "h", .pathPrefix = "/", .maximumExecutions = 2, .groups = groups, .recordLimit = 10};
    route.minimumGroupShare = 0.5;
    std::vector<RoutedService> services;
    for (const std::string &group : groups) {
        services.push_back({.name = group, .connectionLimit = 40});
    }
    return RouteConfiguration::make(1, {route}, services, {}).value();
}

// Restarted servers have a new incarnation, and the front knows nothing of it.
struct Server
{
    BackendRecord record;
    bool listed = true;
    // What the front has been told by this incarnation.
    bool saidLeaving = false;
    TimePoint pausedUntil;
};

class Model
{
public:
    explicit Model(std::uint64_t seed)
        : random(seed)
    {
        for (const std::string &group : groups) {
            for (std::size_t index = 0; index < serversPerGroup; ++index) {
                Server server;
                server.record.key = {.service = group, .group = "", .address = group + "-" + std::to_string(index)};
                server.record.state = BackendState::Ready;
                server.record.dataCentre = "z" + std::to_string(index);
                server.record.incarnation = 1;
                this->servers.push_back(server);
            }
        }
        this->rebuild();
    }

    void step()
    {
        this->now += std::chrono::milliseconds(1 + this->random.below(60));
        switch (this->random.below(6)) {
        case 0:
            this->toggleListing();
            break;
        case 1:
            this->restart();
            break;
        case 2:
            this->rebuild();
            break;
        case 3:
            this->startRequest();
            break;
        default:
            this->reply();
            break;
        }
        for (const std::unique_ptr<Request> &request : this->requests) {
            this->perform(*request, request->scatter->onTimer(this->now));
        }
    }

    std::size_t sends = 0;
    std::size_t states = 0;

private:
    struct Request
    {
        std::shared_ptr<const RoutingTable> table;
        std::unique_ptr<Scatter> scatter;
        std::vector<SubrequestSend> pending;
    };

    Server &anyServer()
    {
        return this->servers.at(this->random.below(this->servers.size()));
    }

    void toggleListing()
    {
        Server &server = this->anyServer();
        server.listed = !server.listed;
    }

    void restart()
    {
        Server &server = this->anyServer();
        ++server.record.incarnation;
        server.saidLeaving = false;
        server.pausedUntil = TimePoint();
        this->rebuild();
    }

    void rebuild()
    {
        std::vector<BackendRecord> records;
        for (const Server &server : this->servers) {
            if (server.listed) {
                records.push_back(server.record);
            }
        }
        this->table = this->tables.build(this->configured, usableServers(this->configured, records), 1, 1, this->now);
    }

    void startRequest()
    {
        auto request = std::make_unique<Request>();
        request->table = this->table;
        const ServiceTable *service = this->table->findService(RouteTables::tableName(groups));
        ScatterOptions options{.requestId = "r", .deadline = this->now + 1s, .minimumGroups = 2, .softDeadline = this->now + 200ms};
        options.probesAfterLostConnection = false;
        options.latestPauseEnd = this->now + 200ms;
        options.makeCollector = [](const PartitionMap &map) { return std::make_unique<RecordMerger>(map, 10); };
        request->scatter = std::make_unique<Scatter>(
            options, this->table, *service, service->groupPolicies.begin()->second, this->random.below(1'000'000));
        this->perform(*request, request->scatter->start(this->now));
        this->requests.push_back(std::move(request));
        if (this->requests.size() > 20) {
            this->requests.erase(this->requests.begin());
        }
    }

    void reply()
    {
        if (this->requests.empty()) {
            return;
        }
        Request &request = *this->requests.at(this->random.below(this->requests.size()));
        if (request.pending.empty()) {
            return;
        }
        const std::size_t position = this->random.below(request.pending.size());
        const SubrequestSend send = request.pending.at(position);
        request.pending.erase(request.pending.begin() + static_cast<std::ptrdiff_t>(position));
        ServerState state;
        const std::size_t kind = this->random.below(6);
        state.leaving = kind == 0;
        if (kind == 1) {
            state.pause = std::chrono::milliseconds(100 + this->random.below(3000));
        }
        applyServerState(state, *send.replica->health, this->random, this->now);
        this->note(send.replica->record, state);
        if (kind <= 2) {
            this->perform(request, request.scatter->onFailure(send.subrequestId, {.reason = RetryReason::Overloaded}, this->now));
        } else {
            Subreply subreply{.subrequestId = send.subrequestId};
            subreply.proof = "p" + std::to_string(send.subrequestId);
            subreply.records = std::string(recordBytes, 'r');
            this->perform(request, request.scatter->onReply(std::move(subreply), 5ms, {}, this->now));
        }
    }

    void note(const BackendRecord &record, const ServerState &state)
    {
        Server &server = *std::ranges::find(this->servers, record.key, [](const Server &known) { return known.record.key; });
        if (server.record.incarnation != record.incarnation) {
            return;
        }
        this->states += state.leaving || state.pause ? 1 : 0;
        server.saidLeaving = server.saidLeaving || state.leaving;
        if (state.pause) {
            server.pausedUntil = std::max(server.pausedUntil, this->now + *state.pause);
        }
    }

    void perform(Request &request, const ScatterActions &actions)
    {
        for (const std::uint64_t cancelled : actions.cancel) {
            std::erase_if(request.pending, [cancelled](const SubrequestSend &send) { return send.subrequestId == cancelled; });
        }
        for (const SubrequestSend &send : actions.send) {
            const BackendRecord &record = send.replica->record;
            const Server &server = *std::ranges::find(this->servers, record.key, [](const Server &known) { return known.record.key; });
            if (server.record.incarnation == record.incarnation) {
                cr_assert(!server.saidLeaving, "%s was sent a request after it said that it leaves", record.key.address.c_str());
                cr_assert(this->now >= server.pausedUntil, "%s was sent a request in its pause", record.key.address.c_str());
            }
            ++this->sends;
            request.pending.push_back(send);
        }
        if (actions.outcome) {
            request.pending.clear();
        }
    }

    RandomSource random;
    TimePoint now = start;
    std::vector<Server> servers;
    RouteConfiguration configured = configuration();
    RouteTables tables{
        RouteTableOptions{.location = {.instance = "f", .dataCentre = "z0"}, .hedge = {.enabled = true}, .extraLoadSlack = 1e6}};
    std::shared_ptr<const RoutingTable> table;
    std::vector<std::unique_ptr<Request>> requests;
};

} // namespace

// Guards against subrequests to servers that said they leave or asked for a pause, whatever the registry lists.
Test(serverstatefaults, servers_that_leave_or_pause_get_nothing_in_any_order_of_events)
{
    std::size_t sends = 0;
    std::size_t states = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Model model(seed);
        for (int step = 0; step < 1500; ++step) {
            model.step();
        }
        sends += model.sends;
        states += model.states;
    }
    cr_assert_gt(sends, 10'000);
    cr_assert_gt(states, 1'000);
}

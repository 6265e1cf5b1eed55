// A hosted backend server with its listener, slots, queue, state, and the faults that control requests inject.
#pragma once

#include "dataset.h"
#include "http.h"
#include "runcounter.h"
#include "settings.h"

#include <boost/random/mersenne_twister.hpp>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Galenawell::StandIn {

struct ReplicaIdentity
{
    std::string group;
    std::size_t groupIndex = 0;
    // Index within the group.
    std::size_t index = 0;
    // Index among all hosted replicas; selects the data centre, the first front and the random seed.
    std::size_t ordinal = 0;
    std::string dataCentre;
    std::uint16_t port = 0;
    bool straggler = false;
};

struct ReplicaStatistics
{
    std::uint64_t subrequests = 0;
    std::uint64_t replies = 0;
    // Keyed by the name of the refusal.
    std::map<std::string, std::uint64_t> refusals;
    // Subrequests whose connection closed before the reply.
    std::uint64_t cancellations = 0;
    // Runs that were cancelled at their deadline.
    std::uint64_t deadlinesExceeded = 0;
    // Subrequests that arrived more than 2 s after the drain began.
    std::uint64_t lateAfterDrain = 0;
    std::uint64_t connections = 0;
    std::uint64_t connectionsRefused = 0;
    std::uint64_t crashes = 0;
    std::uint64_t announcements = 0;
    std::uint64_t announcementFailures = 0;
};

class Replica : public std::enable_shared_from_this<Replica>
{
public:
    Replica(Asio::io_context &ioContext,
            ReplicaIdentity identity,
            const ServiceSettings &serviceSettings,
            const Settings &settings,
            RunCounter &runCounter);

    // Starts to listen, serve and announce. Throws boost::system::system_error if the port is taken.
    void start();

    const ReplicaIdentity &identity() const;
    const std::string &serviceName() const;
    Json describe() const;

    void drain();
    void undrain();
    // Refuses every subrequest as overloaded for this time.
    void shedLoad(std::chrono::milliseconds duration);
    // A frozen replica neither answers nor announces; its port still accepts connections.
    void setFrozen(bool frozen);
    // Requests on the connections that are open now aren't answered any more.
    void silenceConnections();
    void crashOn(const std::string &text, std::chrono::milliseconds downTime);
    void switchVersions(const std::vector<std::uint64_t> &add, const std::vector<std::uint64_t> &remove);
    void repartition(std::uint64_t newEpoch);
    void stopAnnouncing(bool stopped);
    void setServiceTimeFactor(double factor);

private:
    struct Session
    {
        explicit Session(Tcp::socket accepted);

        Tcp::socket socket;
        bool unresponsive = false;
    };
    using SessionPointer = std::shared_ptr<Session>;

    // A subrequest that waits for a slot or holds one.
    struct SlotRequest
    {
        SlotRequest(Replica &replica, const Asio::any_io_executor &executor);
        SlotRequest(const SlotRequest &) = delete;
        SlotRequest &operator=(const SlotRequest &) = delete;
        ~SlotRequest();

        Replica &owner;
        Asio::steady_timer timer;
        bool granted = false;
    };

    // Reports the end of a run to the counter, also when the coroutine is destroyed.
    struct CountedRun
    {
        CountedRun(RunCounter &runCounter, std::string id);
        CountedRun(const CountedRun &) = delete;
        CountedRun &operator=(const CountedRun &) = delete;
        ~CountedRun();

        RunCounter &counter;
        std::string requestId;
        bool completed = false;
    };

    void listen();
    Asio::awaitable<void> acceptConnections();
    Asio::awaitable<void> serveConnection(SessionPointer session);
    Asio::awaitable<void> waitUntilClosed(SessionPointer session);
    Asio::awaitable<void> waitWhileStalled(SessionPointer session);

    // Without a response the connection is closed.
    Asio::awaitable<std::optional<HttpResponse>> answer(const HttpRequest &request, SessionPointer session);
    Asio::awaitable<std::optional<HttpResponse>> answerSubrequest(const Json &subrequest);
    Asio::awaitable<std::optional<HttpResponse>> run(const Json &subrequest);
    Asio::awaitable<bool> acquireSlot(SlotRequest &slotRequest, std::chrono::steady_clock::time_point deadline);
    void releaseSlot();

    // Empty if the replica accepts the subrequest.
    std::string refusalFor(const Json &subrequest) const;
    HttpResponse refuse(const Json &subrequest, const std::string &refusal);
    HttpResponse reply(const Json &subrequest);
    std::chrono::steady_clock::duration drawServiceTime();

    void crash();
    Asio::awaitable<void> restartAfterCrash();

    Asio::awaitable<void> announceRepeatedly();
    Asio::awaitable<bool> announceTo(const std::string &front);
    void announceNow();
    Json announcement();

    std::string stateName() const;
    Json load() const;

    Asio::io_context &context;
    ReplicaIdentity self;
    ServiceSettings service;
    std::vector<std::string> fronts;
    Tcp::endpoint endpoint;
    RunCounter &runs;
    Dataset dataset;

    Tcp::acceptor acceptor;
    std::set<SessionPointer> sessions;
    std::size_t running = 0;
    std::list<SlotRequest *> waiting;
    boost::random::mt19937_64 random;
    ReplicaStatistics statistics;

    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::chrono::steady_clock::time_point startedAt;
    std::set<std::uint64_t> versions;
    std::uint64_t epoch;
    KeyRange range;

    std::optional<std::chrono::steady_clock::time_point> drainingSince;
    std::chrono::steady_clock::time_point sheddingUntil;
    bool frozen = false;
    bool down = false;
    bool announcing = true;
    double serviceTimeFactor = 1;
    std::string crashText;
    std::chrono::milliseconds crashDownTime{0};

    // Connection to the front that accepted the last announcement.
    boost::beast::tcp_stream announceStream;
    Asio::steady_timer announceTimer;
};

} // namespace Galenawell::StandIn

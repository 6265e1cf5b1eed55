// A front with stand-ins for its control processes, of which one answers every subscription but stays at an old revision, as
// a control process does whose disk is stalled or full.
#include "galenawell/front/routedfront.h"
#include "unit/transport/loopback.h"

#include <atomic>
#include <criterion/criterion.h>
#include <deque>
#include <fcntl.h>
#include <thread>
#include <unistd.h>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr const char *peerKey = "test";
constexpr unsigned short peerPort = 27741;

// Each process has its own part of the loopback range, since tests run in parallel.
std::string addressOf(int host)
{
    const int process = ::getpid();
    return "127." + std::to_string(20 + process % 200) + "." + std::to_string(1 + process / 200 % 250) + "." + std::to_string(host);
}

InstanceName peerName(int host)
{
    return addressOf(host) + ":" + std::to_string(peerPort);
}

Tcp::endpoint endpointOf(int host, unsigned short port)
{
    return {Asio::ip::make_address(addressOf(host)), port};
}

class ControlStandIn
{
public:
    ControlStandIn(IoThread &ioThread, int host, std::string zone, std::vector<InstanceName> allControls)
        : dataCentre(std::move(zone))
        , controls(std::move(allControls))
    {
        const PeerIdentity identity = identityAcceptingAnyPeer(peerName(host), peerKey);
        this->server = std::make_shared<PeerServer>(
            ioThread.context.get_executor(),
            endpointOf(host, peerPort),
            identity,
            [this](InstanceName, Wire::Envelope request) { return this->answer(std::move(request)); },
            std::make_shared<PeerTraffic>());
        this->server->start();
    }

    std::atomic<std::uint64_t> revision{1};

private:
    bool isDue(const Wire::Subscription &subscription) const
    {
        const auto newest = static_cast<std::int64_t>(this->revision.load());
        const bool sendsView = subscription.wantsView && newest > subscription.revision;
        return sendsView || (subscription.__isset.notifyAbove && newest > subscription.notifyAbove);
    }

    Asio::awaitable<Wire::Envelope> answer(Wire::Envelope request)
    {
        const Wire::Subscription subscription = request.subscription;
        const TimePoint until = MonotonicClock::now() + std::chrono::milliseconds(subscription.waitMs);
        Asio::steady_timer timer(co_await Asio::this_coro::executor);
        while (!this->isDue(subscription) && MonotonicClock::now() < until) {
            timer.expires_after(2ms);
            co_await timer.async_wait(awaitResult);
        }
        const std::uint64_t newest = this->revision;
        Wire::SubscriptionReply reply;
        reply.incarnation = 1;
        reply.controls = this->controls;
        reply.liveFronts = 1;
        reply.impairedVersion = 1;
        reply.__set_revision(static_cast<std::int64_t>(newest));
        reply.__set_dataCentre(this->dataCentre);
        if (subscription.wantsView && static_cast<std::int64_t>(newest) > subscription.revision) {
            const ControlView view{.revision = newest,
                                   .configurationNumber = newest,
                                   .configurationDigest = "",
                                   .configurationContent = std::to_string(newest),
                                   .partitionMaps = {}};
            reply.__set_view(encodeControlView(view));
        }
        Wire::Envelope envelope;
        envelope.__set_subscriptionReply(reply);
        co_return envelope;
    }

    std::string dataCentre;
    std::vector<InstanceName> controls;
    std::shared_ptr<PeerServer> server;
};

// The front gets no requests.
class NoRequests : public RequestCodec
{
public:
    RoutedRequest decodeRequest(HttpRequest) const override
    {
        return {};
    }
    ExchangeRequest encodeSubrequest(const RoutedRequest &, const BackendRecord &, std::chrono::milliseconds) const override
    {
        return {};
    }
    ServerReply decodeReply(const RoutedRequest &, ExchangeResult) const override
    {
        return {};
    }
    HttpResponse encodeAnswer(const Route &, Answer) const override
    {
        return {};
    }
    HttpResponse encodeRefusal(const Refusal &) const override
    {
        return {};
    }
};

std::uint64_t configurationInForce(const Metrics &metrics)
{
    const std::string text = metrics.serialise();
    const std::size_t line = text.find("\ngalenawell_configuration_number{");
    return line == std::string::npos ? 0 : std::stoull(text.substr(text.find("} ", line) + 2));
}

class FrontWithControls
{
public:
    FrontWithControls()
    {
        const std::vector<InstanceName> controls{peerName(1), peerName(2), peerName(3)};
        this->near = std::make_unique<ControlStandIn>(this->ioThread, 1, "z1", controls);
        this->second = std::make_unique<ControlStandIn>(this->ioThread, 2, "z2", controls);
        this->third = std::make_unique<ControlStandIn>(this->ioThread, 3, "z3", controls);
        NodeSettings settings;
        settings.instance = "front";
        settings.dataCentre = "z1";
        settings.peerAddress = endpointOf(100, peerPort);
        settings.seeds = {endpointOf(1, peerPort), endpointOf(2, peerPort), endpointOf(3, peerPort)};
        settings.peerKey = peerKey;
        settings.callerAddress = endpointOf(100, 0);
        const auto read = [](const std::string &content) { return RouteConfiguration::make(std::stoull(content), {}, {}, {}); };
        this->front = std::make_shared<RoutedFront>(
            this->ioThread.context.get_executor(),
            settings,
            std::make_shared<NoRequests>(),
            read,
            this->metrics,
            std::make_shared<EventLog>(EventLogOptions{.descriptor = ::open("/dev/null", O_WRONLY), .instance = "front"}));
        cr_assert(this->front->start().has_value());
    }

    ~FrontWithControls()
    {
        this->ioThread.stop();
    }

    FrontWithControls(const FrontWithControls &) = delete;
    FrontWithControls &operator=(const FrontWithControls &) = delete;

    bool waitForConfiguration(std::uint64_t number, std::chrono::milliseconds timeout) const
    {
        const auto end = std::chrono::steady_clock::now() + timeout;
        while (configurationInForce(*this->metrics) < number) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(5ms);
        }
        return true;
    }

    // Declared first, since the sockets of the others use its io_context.
    IoThread ioThread;
    std::shared_ptr<Metrics> metrics = std::make_shared<Metrics>("front");
    // The front takes its views from this one, the only one in its data centre.
    std::unique_ptr<ControlStandIn> near;
    std::unique_ptr<ControlStandIn> second;
    std::unique_ptr<ControlStandIn> third;
    std::shared_ptr<RoutedFront> front;
};

// Time within which small installations promise an acknowledged configuration to be in force.
constexpr std::chrono::milliseconds configurationBound{3000};

} // namespace

// Guards against configurations that aren't in force in time because the process that sends the front its views is behind the
// others, and further changes follow.
Test(viewsourcefaults, a_source_that_is_behind_is_left_during_a_series_of_changes)
{
    FrontWithControls installation;
    cr_assert(installation.waitForConfiguration(1, 5000ms));
    std::deque<std::pair<std::uint64_t, std::chrono::steady_clock::time_point>> acknowledged;
    const auto end = std::chrono::steady_clock::now() + 6s;
    std::uint64_t number = 1;
    std::uint64_t bound = 0;
    while (std::chrono::steady_clock::now() < end) {
        ++number;
        installation.second->revision = number;
        installation.third->revision = number;
        const auto now = std::chrono::steady_clock::now();
        acknowledged.emplace_back(number, now);
        while (now - acknowledged.front().second > configurationBound) {
            bound = acknowledged.front().first;
            acknowledged.pop_front();
        }
        const std::uint64_t inForce = configurationInForce(*installation.metrics);
        cr_assert(inForce >= bound, "%zu in force, %zu due", static_cast<std::size_t>(inForce), static_cast<std::size_t>(bound));
        std::this_thread::sleep_for(60ms);
    }
    cr_assert(installation.waitForConfiguration(number, configurationBound));
}

// Guards against a change that is in force late because it was made while the source of the views was behind.
Test(viewsourcefaults, one_change_that_the_source_misses_is_in_force_in_time)
{
    FrontWithControls installation;
    cr_assert(installation.waitForConfiguration(1, 5000ms));
    installation.second->revision = 2;
    installation.third->revision = 2;
    cr_assert(installation.waitForConfiguration(2, configurationBound));
}

// An installation of platform nodes on loopback: control processes and fronts as separate processes, each with its own
// loopback address, and backend servers that run in the test process.
#pragma once

#include "galenawell/transport/httpserver.h"
#include "unit/transport/loopback.h"

#include <atomic>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Galenawell::Testing {

struct Reply
{
    // 0 if there was no complete reply.
    unsigned status = 0;
    std::vector<HttpHeader> headers{};
    std::string body{};

    std::string header(std::string_view name) const
    {
        return std::string(findHeader(this->headers, name));
    }
};

struct Call
{
    // "IP:port".
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers{};
    std::string body{};
    std::chrono::milliseconds timeout{3000};
};

// Sends the request on a new connection.
Reply call(const Call &request);

// A connection that is opened at once and carries one request later.
class KeptConnection
{
public:
    explicit KeptConnection(const std::string &address, std::chrono::milliseconds connectTimeout = std::chrono::seconds(3));

    // The address of the request is ignored.
    Reply call(const Call &request);

private:
    Asio::io_context context;
    Beast::tcp_stream stream{this->context};
};

// Polls until the condition holds; false after the timeout.
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout = std::chrono::seconds(20));

// A backend server of a service with one slot.
class ServerStandIn
{
public:
    ServerStandIn(std::string serviceName, std::string serverIdentity, std::string dataCentre);
    ~ServerStandIn();

    std::string heartbeat(const std::string &state);
    // Heartbeats announce the listen address, or the address that was set instead.
    std::string listenAddress() const;
    void setAnnouncedAddress(const std::string &announced);
    const std::string &identity() const;
    std::size_t runs() const;
    std::size_t runsOf(const std::string &requestId) const;
    // Service time of the requests that arrive from now on.
    void setServiceTime(std::chrono::milliseconds duration);
    // Status of the answers from now on; any number of three digits, also one that no server may send.
    void setStatus(unsigned status);
    // Size of the answers from now on.
    void setAnswerBytes(std::size_t size);
    // Number of requests whose connection closed before the answer.
    std::size_t abandoned() const;
    // Says in all answers from now on that it leaves.
    void setLeaving();
    // Refuses all requests from now on and asks for a pause; an empty text ends that.
    void refuseWithPause(const std::string &seconds);
    // States a limit in all answers from now on; an empty text ends that.
    void setLimit(const std::string &requestsPerSecond);
    // Refused requests included.
    std::size_t arrivals() const;
    std::vector<std::chrono::steady_clock::time_point> arrivalTimes() const;

private:
    Asio::awaitable<HttpResponse> handle(HttpRequest request);

    std::string service;
    std::string name;
    std::string zone;
    std::string address;
    std::string announcedAddress;
    std::atomic<std::uint64_t> sequence{0};
    std::atomic<std::int64_t> serviceTimeMilliseconds{0};
    std::atomic<unsigned> answerStatus{200};
    std::atomic<std::size_t> answerBytes{0};
    std::atomic<std::size_t> abandonedCount{0};
    std::atomic<std::size_t> arrivalCount{0};
    std::atomic<bool> isLeaving{false};
    mutable std::mutex mutex;
    std::string pauseSeconds;
    std::string limit;
    std::vector<std::chrono::steady_clock::time_point> arrivedAt;
    std::map<std::string, std::size_t> runsById;
    // Declared before the server, whose sockets use its io_context.
    IoThread ioThread;
    std::shared_ptr<HttpServer> server;
};

// Accepts connections, reads the start of a request on each and sends a reply that never ends.
class EndlessServer
{
public:
    explicit EndlessServer(std::string replyHead);
    ~EndlessServer();

    std::string address() const;
    std::size_t accepted() const;

private:
    Asio::awaitable<void> acceptLoop();
    Asio::awaitable<void> serve(std::shared_ptr<Tcp::socket> socket);

    std::string head;
    std::atomic<std::size_t> acceptedCount{0};
    IoThread ioThread;
    Tcp::acceptor acceptor{this->ioThread.context, anyPort()};
};

// Ends when it receives a request: closes the connection and its listener. start() begins its next run at the same address.
class CrashingServer
{
public:
    // Called with the id of each request that ends the server, on the server's own thread.
    using OnCrash = std::function<void(const std::string &requestId)>;

    explicit CrashingServer(OnCrash onCrash);
    ~CrashingServer();

    void start();
    bool running() const;
    std::string address() const;
    // Unix milliseconds of the current run's start; rises with each run.
    std::int64_t born() const;

private:
    Asio::awaitable<void> acceptLoop();
    Asio::awaitable<void> serve(std::shared_ptr<Tcp::socket> socket);

    OnCrash onCrash;
    std::atomic<bool> isRunning{false};
    std::atomic<std::int64_t> bornAt{1000};
    IoThread ioThread;
    Tcp::acceptor acceptor{this->ioThread.context, anyPort()};
    const Tcp::endpoint endpoint{this->acceptor.local_endpoint()};
};

class PlatformInstallation
{
public:
    PlatformInstallation(std::size_t controlCount, std::size_t frontCount);
    ~PlatformInstallation();
    PlatformInstallation(const PlatformInstallation &) = delete;
    PlatformInstallation &operator=(const PlatformInstallation &) = delete;

    void startAll();
    void start(const std::string &name);
    // Doesn't wait for the process to end.
    void sendSignal(const std::string &name, int signal);
    // True if a process has ended and no call of stop() has collected its exit.
    bool hasUnexpectedExit() const;
    // Sends the signal and waits for the process to end; false after the timeout.
    bool stop(const std::string &name, int signal, std::chrono::milliseconds timeout = std::chrono::seconds(10));
    void deleteDataFolder(const std::string &name);
    // Highest resident memory of a running process so far; 0 if it can't be read.
    std::size_t peakMemoryBytes(const std::string &name) const;
    void setFoundInstallation(bool mayFound);
    // Adds a setting to those of each process that starts from now on.
    void setSetting(const std::string &name, const nlohmann::json &value);

    std::vector<std::string> controlNames() const;
    std::vector<std::string> frontNames() const;
    std::string controlAddress(const std::string &name) const;
    std::string directoryAddress(const std::string &name) const;
    std::string callerAddress(const std::string &name) const;
    std::string readinessAddress(const std::string &name) const;
    std::string metricsAddress(const std::string &name) const;
    std::string peerAddress(const std::string &name) const;
    std::string ip(const std::string &name) const;
    pid_t process(const std::string &name) const;

    Reply putConfiguration(const std::string &control, const nlohmann::json &configuration) const;
    // Tries one control process after the other until one acknowledges; false after the timeout.
    bool putUntilAcknowledged(const nlohmann::json &configuration) const;
    Reply getConfiguration(const std::string &control) const;
    bool announce(ServerStandIn &server, const std::string &state) const;
    bool announce(const std::string &identity, const std::string &heartbeat) const;
    // Value of a metric without labels besides the instance; empty if the process doesn't serve it.
    std::optional<double> metric(const std::string &name, const std::string &metricName) const;
    // Name of the leader of the control group according to the metrics; empty if there is none.
    std::string leader() const;

private:
    struct Node
    {
        std::string name;
        std::string ip;
        bool front = false;
        pid_t process = 0;
    };

    const Node &findNode(const std::string &name) const;
    void writeSettings(const Node &node) const;
    std::vector<std::string> nodeNames(bool front) const;

    std::filesystem::path folder;
    std::vector<Node> nodes;
    bool foundInstallation = true;
    nlohmann::json extraSettings = nlohmann::json::object();
};

} // namespace Galenawell::Testing

// A whole installation on loopback that speaks the users' platform: control processes and fronts as separate processes,
// each on a loopback address of its own, and backend servers that run in the test.
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
#include <string>
#include <sys/types.h>
#include <vector>

namespace Galenawell::Testing {

struct Reply
{
    // 0: no whole reply.
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

// One call on a new connection.
Reply call(const Call &request);

// True as soon as the condition holds, within a generous time.
bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds within = std::chrono::seconds(20));

// One backend server with one slot of a service.
class ServerStandIn
{
public:
    ServerStandIn(std::string serviceName, std::string serverIdentity, std::string dataCentre);
    ~ServerStandIn();

    std::string heartbeat(const std::string &state);
    // Where the server listens, and where its heartbeats say that it does.
    std::string listenAddress() const;
    void setAnnouncedAddress(const std::string &announced);
    const std::string &identity() const;
    std::size_t runs() const;
    std::size_t runsOf(const std::string &requestId) const;
    // Requests take this long from now on.
    void setWork(std::chrono::milliseconds duration);
    // Requests whose connection closed before their answer.
    std::size_t abandoned() const;

private:
    Asio::awaitable<HttpResponse> handle(HttpRequest request);

    std::string service;
    std::string name;
    std::string zone;
    std::string address;
    std::string announcedAddress;
    std::atomic<std::uint64_t> sequence{0};
    std::atomic<std::int64_t> workMilliseconds{0};
    std::atomic<std::size_t> left{0};
    mutable std::mutex mutex;
    std::map<std::string, std::size_t> runsById;
    // The server's sockets belong to the loop, so it is destroyed after them.
    IoThread loop;
    std::shared_ptr<HttpServer> server;
};

class PlatformInstallation
{
public:
    PlatformInstallation(std::size_t controls, std::size_t fronts);
    ~PlatformInstallation();
    PlatformInstallation(const PlatformInstallation &) = delete;
    PlatformInstallation &operator=(const PlatformInstallation &) = delete;

    void startAll();
    void start(const std::string &name);
    // Sends a signal and doesn't wait.
    void signal(const std::string &name, int number);
    // True if a process ended that nobody stopped.
    bool endedByItself() const;
    // Waits until the process has ended; false if it didn't within the time.
    bool stop(const std::string &name, int signal, std::chrono::milliseconds within = std::chrono::seconds(10));
    void wipe(const std::string &name);
    void setFounding(bool founds);

    std::vector<std::string> controls() const;
    std::vector<std::string> fronts() const;
    std::string controlAddress(const std::string &name) const;
    std::string directoryAddress(const std::string &name) const;
    std::string callerAddress(const std::string &name) const;
    std::string readinessAddress(const std::string &name) const;

    Reply putConfiguration(const std::string &control, const nlohmann::json &configuration) const;
    // Sends it to one control process after the other until it is acknowledged.
    bool acknowledged(const nlohmann::json &configuration) const;
    Reply getConfiguration(const std::string &control) const;
    bool announce(ServerStandIn &server, const std::string &state) const;
    // The name of the control process that leads the log, by its metrics; empty if there is none.
    std::string leader() const;

private:
    struct Member
    {
        std::string name;
        std::string ip;
        bool front = false;
        pid_t process = 0;
    };

    const Member &member(const std::string &name) const;
    void writeSettings(const Member &member) const;
    std::vector<std::string> namesOf(bool front) const;

    std::filesystem::path folder;
    std::vector<Member> members;
    bool founding = true;
};

} // namespace Galenawell::Testing

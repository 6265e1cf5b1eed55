// One run of the soak: an installation of real processes under load, faults drawn from a seed, and the promises checked
// while it runs and after the last fault.
#pragma once

#include "soak/faultproxy.h"
#include "soak/promises.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace Galenawell::Testing {

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::seconds length{20};
    std::size_t controls = 4;
    std::size_t fronts = 3;
    std::size_t shards = 3;
    std::size_t replicas = 3;
    bool verbose = false;
};

class Soak
{
public:
    explicit Soak(const SoakOptions &options);

    // Broken promises; empty if all were kept.
    std::vector<std::string> run();
    std::string summary() const;

private:
    struct Server
    {
        std::unique_ptr<ServerStandIn> standIn;
        std::unique_ptr<FaultProxy> proxy;
    };

    using Fault = void (Soak::*)();

    nlohmann::json configuration(std::uint64_t version) const;
    void startLoad();
    void heartbeats(const std::stop_token &stop);
    void callers(const std::stop_token &stop, std::size_t caller);
    void operators(const std::stop_token &stop);
    void addServer(const std::string &service, const std::string &identity, std::size_t zone);

    void say(const std::string &sentence) const;
    std::string drawFrom(const std::vector<std::string> &names);
    std::chrono::milliseconds drawTime(int least, int most);
    void restartLater(const std::string &name, std::chrono::milliseconds after);
    void runDue(std::chrono::steady_clock::time_point now);
    bool isDown(const std::string &name) const;

    void killOne();
    void stopOne();
    void pauseOne();
    void killControls();
    void killEverything();
    void wipeControl();
    void disturbServer();
    void resetServer();
    void checkRecovery();

    SoakOptions options;
    std::mt19937_64 random;
    PlatformInstallation installation;
    Promises promises;
    std::vector<Server> servers;
    std::atomic<std::uint64_t> nextRequest{1};
    std::atomic<std::uint64_t> lastSingle{0};
    // What is still to be done: restarts, and the ends of pauses and disturbances.
    std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> due;
    std::set<std::string> down;
    std::chrono::steady_clock::time_point lastWipe;
    std::vector<std::jthread> threads;
};

} // namespace Galenawell::Testing

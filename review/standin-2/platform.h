// Stand-ins for the platform around a small deployment: it starts the project's processes with settings as the deploy
// file's template renders them, and plays the operator, replicas and clients on loopback addresses with blocking sockets.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

// Writes what was sent, answered and run to record.txt, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void line(const std::string &text);

private:
    std::mutex mutex;
    TimePoint start;
    FILE *file;
};

struct Message
{
    // Of a request.
    std::string method;
    std::string target;
    // Of a response; 0 if none arrived whole.
    int status = 0;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &lowerCaseName) const;
};

// One connection of either side.
class Connection
{
public:
    explicit Connection(int openDescriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::shared_ptr<Connection> open(const std::string &ip, int port, Milliseconds timeout);

    bool send(const std::string &bytes) const;
    // Reads one whole message; false if the connection ends or the time passes before. A response without a length ends with
    // the connection.
    bool read(Message &message, bool isResponse, Milliseconds timeout);
    // True once there is something to read, or the other side has closed the connection.
    bool waitReadable(Milliseconds timeout) const;
    // True once the other side has closed or reset the connection.
    bool ended() const;
    void close();

private:
    bool readMore(TimePoint until);

    int descriptor;
    bool hasEnded = false;
    std::string buffer;
};

struct Call
{
    std::string ip;
    int port = 0;
    std::string method = "GET";
    std::string target;
    std::string headers;
    std::string body;
    Milliseconds timeout{1000};
};

// Sends one request on a new connection; status 0 if no whole response came.
Message call(const Call &request);

std::string responseText(int status, const std::string &headers, const std::string &body);

struct Node
{
    std::string name;
    std::string ip;
    std::string zone;
    bool front = false;
    pid_t process = 0;
};

// Control processes and fronts, each on a loopback address of its own.
class Deployment
{
public:
    Deployment(std::size_t controlCount, std::size_t frontCount, Record &eventRecord);
    ~Deployment();

    void startAll();
    void start(const std::string &name);
    // Sends a signal to one of the processes.
    void signal(const std::string &name, int number);
    // Waits for its end.
    void wait(const std::string &name);
    bool ended(const std::string &name);

    const Node &node(const std::string &name) const;
    std::vector<std::string> names(bool fronts) const;
    // Addresses of replicas.
    std::string ipPrefix() const;

    // The operator sends the manifest to one control process after the other until it is acknowledged.
    bool putManifest(const std::string &manifest, Milliseconds timeout);
    Message putManifestTo(const std::string &control, const std::string &manifest) const;
    Message getManifest(const std::string &control) const;
    // A replica's call to one control process after the other.
    bool tellControl(const std::string &method, const std::string &identity, const std::string &body);
    bool ready(const std::string &front) const;

    static constexpr int controlPort = 8224;
    static constexpr int directoryPort = 8225;
    static constexpr int callerPort = 8226;
    static constexpr int readinessPort = 8227;
    static constexpr int peerPort = 7740;

private:
    void writeSettings(const Node &node) const;
    Node &find(const std::string &name);

    Record &record;
    std::string folder;
    std::string prefix;
    std::vector<Node> nodes;
    bool bootstrap = true;
    std::atomic<std::size_t> nextControl{0};
};

struct ReplicaOptions
{
    std::string service;
    std::string identity;
    std::string ip;
    int port = 8080;
    std::string zone = "zone-1";
    int slots = 1;
};

// A replica: it answers on its address and sends its pings until it is told to stop.
class Replica
{
public:
    // Called for each request, on the connection's own thread.
    using Handler = std::function<void(Connection &, const Message &)>;

    Replica(ReplicaOptions replicaOptions, Deployment &ownDeployment, Record &eventRecord, Handler requestHandler);
    ~Replica();

    void startPings();
    void stopPings();
    void setState(const std::string &newState);
    // Ends as a crashed process does: nothing listens any more, and connections end without an answer.
    void crash();
    bool crashed() const;
    // Sends one ping now; true if it was acknowledged.
    bool ping();
    const ReplicaOptions &settings() const;

private:
    void accept();
    void serve(std::shared_ptr<Connection> connection);

    ReplicaOptions options;
    Deployment &deployment;
    Record &record;
    Handler handler;
    int listener = -1;
    std::atomic<bool> stopping{false};
    std::atomic<bool> hasCrashed{false};
    std::atomic<bool> pinging{false};
    std::mutex pingMutex;
    std::string state = "ready";
    std::uint64_t sequence = 0;
    std::int64_t born = 0;
    std::vector<std::thread> threads;
    std::mutex threadsMutex;
};

bool waitUntil(const std::function<bool()> &condition, Milliseconds timeout);
void sleepFor(Milliseconds duration);

// True unless the environment says TROUBLE=0.
bool withTrouble();

// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

} // namespace Review

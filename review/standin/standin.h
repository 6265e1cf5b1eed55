// Stand-ins for the cases of the review: the platform that starts the project's processes, its clients, its operator and its
// replicas. Plain sockets and threads, so that a case needs nothing but a compiler. All addresses are loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

// Bounds of the site pd-galena.
constexpr Milliseconds contactTime{4000};
constexpr Milliseconds drainTime{3000};
constexpr Milliseconds configurationApplyTime{3000};
constexpr Milliseconds heartbeatInterval{1200};
constexpr std::size_t retrySlack = 54;

inline bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline void sleepFor(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// What was sent, answered and run, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : stream(path)
    {
    }

    void add(const std::string &line)
    {
        const std::lock_guard lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f  ", std::chrono::duration<double>(Clock::now() - this->start).count());
        this->stream << time << line << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream stream;
    Clock::time_point start = Clock::now();
};

struct Header
{
    std::string name;
    std::string value;
};

struct Message
{
    // The first line without its end.
    std::string start;
    std::vector<Header> headers{};
    std::string body{};

    std::string header(const std::string &name) const
    {
        for (const Header &header : this->headers) {
            if (::strcasecmp(header.name.c_str(), name.c_str()) == 0) {
                return header.value;
            }
        }
        return {};
    }

    unsigned status() const
    {
        return this->start.size() > 12 && this->start.starts_with("HTTP/1.") ? static_cast<unsigned>(std::atoi(this->start.c_str() + 9))
                                                                             : 0;
    }
};

inline std::string encode(const Message &message)
{
    std::string text = message.start + "\r\n";
    for (const Header &header : message.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    return text + "\r\n" + message.body;
}

// A TCP connection that reads and writes whole HTTP/1.1 messages.
class Connection
{
public:
    explicit Connection(int openDescriptor)
        : descriptor(openDescriptor)
    {
    }

    ~Connection()
    {
        this->close();
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const std::string &ip, unsigned short port, Milliseconds timeout)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto connection = std::make_unique<Connection>(descriptor);
        connection->setTimeout(timeout);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
            return nullptr;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return connection;
    }

    void setTimeout(Milliseconds timeout) const
    {
        const timeval limit{.tv_sec = timeout.count() / 1000, .tv_usec = (timeout.count() % 1000) * 1000};
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    }

    bool write(const std::string &text) const
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count = ::send(this->descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // False at the end of the stream, after the timeout, or for bytes that aren't a message. Bodies need a length; the reply
    // to a HEAD request has none.
    bool read(Message &message, bool withBody = true)
    {
        std::string line;
        message = Message{};
        if (!this->readLine(message.start)) {
            return false;
        }
        while (this->readLine(line) && !line.empty()) {
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                return false;
            }
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.push_back({line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value)});
        }
        const std::size_t length = withBody ? std::strtoull(message.header("Content-Length").c_str(), nullptr, 10) : 0;
        while (this->buffer.size() < length) {
            if (!this->fill()) {
                return false;
            }
        }
        message.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return true;
    }

    void shutdown() const
    {
        ::shutdown(this->descriptor, SHUT_RDWR);
    }

    void close()
    {
        if (this->descriptor >= 0) {
            ::close(this->descriptor);
            this->descriptor = -1;
        }
    }

private:
    bool fill()
    {
        char bytes[16384];
        const ssize_t count = ::recv(this->descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool readLine(std::string &line)
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n")) == std::string::npos) {
            if (!this->fill()) {
                return false;
            }
        }
        line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return true;
    }

    int descriptor;
    std::string buffer;
};

// Sends a request on a new connection. Status 0 if there was no complete answer.
inline Message call(const std::string &ip, unsigned short port, Message request, Milliseconds timeout)
{
    Message answer;
    const std::unique_ptr<Connection> connection = Connection::open(ip, port, timeout);
    if (connection == nullptr) {
        return answer;
    }
    request.headers.push_back({"Connection", "close"});
    if (!request.body.empty()) {
        request.headers.push_back({"Content-Length", std::to_string(request.body.size())});
    }
    if (!connection->write(encode(request)) || !connection->read(answer)) {
        answer = Message{};
    }
    return answer;
}

// A replica of one service, with the platform's heartbeats. It serves one request at a time on each connection.
class Replica
{
public:
    // What the replica does with a request; false ends the connection. The default runs it and answers with success.
    using Run = std::function<bool(Replica &, Connection &, const Message &)>;

    Replica(Record &sharedRecord, std::string serviceName, std::string identifier, std::string listenIp, unsigned short listenPort)
        : record(sharedRecord)
        , service(std::move(serviceName))
        , name(std::move(identifier))
        , ip(std::move(listenIp))
        , port(listenPort)
    {
        this->listen();
    }

    ~Replica()
    {
        this->stopListening();
        for (int wait = 0; this->openConnections > 0 && wait < 200; ++wait) {
            sleepFor(Milliseconds(10));
        }
    }

    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    void setRun(Run newRun)
    {
        this->run = std::move(newRun);
    }

    // Announced from the next ping on.
    void setSlots(int count)
    {
        this->slots = count;
    }

    const std::string &id() const
    {
        return this->name;
    }

    std::string address() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }

    // Body of the next ping.
    std::string ping(const std::string &state)
    {
        std::ostringstream text;
        text << R"({"service":")" << this->service << R"(","address":")" << this->address()
             << R"(","zone":"zone-1","version":"v1","slots":)" << this->slots << R"(,"state":")" << state
             << R"(","warmup_remaining_ms":0,"sequence":)" << ++this->sequence << R"(,"born":)" << this->born << "}";
        return text.str();
    }

    // All answers from now on say that the replica leaves.
    void setLeaving()
    {
        this->leaving = true;
    }

    // Arrivals that the replica began to work on.
    std::size_t runs() const
    {
        return this->runCount;
    }

    void countRun()
    {
        ++this->runCount;
    }

    std::string success(const std::string &id, const std::string &body) const
    {
        Message answer{.start = "HTTP/1.1 200 OK", .headers = {{"Attempt-Id", id}, {"Server-Stamp", this->name + "." + id}}, .body = body};
        if (this->leaving) {
            answer.headers.push_back({"Server-Leaving", "1"});
        }
        answer.headers.push_back({"Content-Length", std::to_string(body.size())});
        return encode(answer);
    }

    // Ends the process of the replica: all connections break, and new ones are refused.
    void stopListening()
    {
        if (!this->listening.exchange(false)) {
            return;
        }
        ::shutdown(this->listener, SHUT_RDWR);
        this->acceptThread.join();
        ::close(this->listener);
        const std::lock_guard lock(this->mutex);
        for (Connection *connection : this->connections) {
            connection->shutdown();
        }
    }

    // Starts again as a new incarnation under the same identifier, at the same address.
    void restart()
    {
        this->stopListening();
        this->born = unixMilliseconds();
        this->sequence = 0;
        this->listen();
    }

    bool isListening() const
    {
        return this->listening;
    }

private:
    void listen()
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(this->port);
        ::inet_pton(AF_INET, this->ip.c_str(), &address.sin_addr);
        if (::bind(this->listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(this->listener, 128) != 0) {
            std::fprintf(stderr, "a replica can't listen: %s\n", std::strerror(errno));
            std::_Exit(couldNotRun);
        }
        this->listening = true;
        this->acceptThread = std::thread([this, socket = this->listener] {
            for (;;) {
                const int accepted = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                ++this->openConnections;
                std::thread([this, accepted] { this->serve(accepted); }).detach();
            }
        });
    }

    void serve(int descriptor)
    {
        {
            Connection connection(descriptor);
            const int on = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(this->mutex);
                this->connections.push_back(&connection);
            }
            Message request;
            while (this->listening && connection.read(request) && this->answer(connection, request)) {
            }
            const std::lock_guard lock(this->mutex);
            std::erase(this->connections, &connection);
        }
        --this->openConnections;
    }

    // False if the connection ends.
    bool answer(Connection &connection, const Message &request)
    {
        const std::string id = request.header("Attempt-Id");
        if (request.header("Expected-Instance") != this->name) {
            this->record.add("replica " + this->name + " refuses " + id + " for " + request.header("Expected-Instance") + " with 421");
            return connection.write("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + id
                                    + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        if (this->run) {
            return this->run(*this, connection, request);
        }
        this->countRun();
        this->record.add("replica " + this->name + " runs " + id);
        return connection.write(this->success(id, std::string(32, 'r')));
    }

    Record &record;
    std::string service;
    std::string name;
    std::string ip;
    unsigned short port;
    std::atomic<int> slots{5};
    std::atomic<std::int64_t> born = unixMilliseconds();
    std::atomic<std::uint64_t> sequence{0};
    std::atomic<std::size_t> runCount{0};
    std::atomic<std::size_t> openConnections{0};
    std::atomic<bool> leaving{false};
    std::atomic<bool> listening{false};
    Run run;
    std::mutex mutex;
    std::vector<Connection *> connections;
    int listener = -1;
    std::thread acceptThread;
};

// Starts the program of the deploy file with settings as its template renders them for a small deployment.
class Platform
{
public:
    Platform(Record &sharedRecord, std::size_t controlCount, std::size_t frontCount)
        : record(sharedRecord)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
        std::random_device random;
        this->prefix = "127." + std::to_string(10 + random() % 240) + "." + std::to_string(1 + random() % 250) + ".";
        this->firstPort = static_cast<unsigned short>(20000 + random() % 10000);
        for (std::size_t index = 1; index <= controlCount; ++index) {
            this->nodes.push_back({.name = "control-" + std::to_string(index), .ip = this->prefix + std::to_string(index)});
        }
        for (std::size_t index = 1; index <= frontCount; ++index) {
            this->nodes.push_back(
                {.name = "front-" + std::to_string(index), .ip = this->prefix + std::to_string(100 + index), .front = true});
        }
    }

    ~Platform()
    {
        for (Node &node : this->nodes) {
            if (node.process > 0) {
                ::kill(node.process, SIGCONT);
                ::kill(node.process, SIGKILL);
                ::waitpid(node.process, nullptr, 0);
            }
        }
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;

    void startAll()
    {
        for (const Node &node : this->nodes) {
            this->start(node.name);
        }
        this->founded = true;
    }

    void start(const std::string &name)
    {
        Node &node = this->find(name);
        this->writeSettings(node);
        const std::string variable = "GALENAWELL_NODE_FILE=" + this->settingsFile(node);
        const std::string log = (this->folder / (name + ".log")).string();
        std::vector<char *> arguments{const_cast<char *>(program), nullptr};
        std::vector<char *> environment{const_cast<char *>(variable.c_str()), nullptr};
        const pid_t process = ::fork();
        if (process == 0) {
            // The process doesn't outlive the case, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execve(program, arguments.data(), environment.data());
            std::_Exit(127);
        }
        node.process = process;
        this->record.add("platform starts " + name);
    }

    // A loss of power of the machine, as far as its process shows it: it ends at once.
    void kill(const std::string &name)
    {
        Node &node = this->find(name);
        ::kill(node.process, SIGKILL);
        ::waitpid(node.process, nullptr, 0);
        node.process = 0;
        this->record.add("platform kills " + name);
    }

    // True if a process ended that the case hasn't killed.
    bool endedByItself()
    {
        bool ended = false;
        for (const Node &node : this->nodes) {
            siginfo_t information{};
            ended = ended
                || (node.process > 0 && ::waitid(P_PID, static_cast<id_t>(node.process), &information, WEXITED | WNOHANG | WNOWAIT) == 0
                    && information.si_pid == node.process);
        }
        return ended;
    }

    std::vector<std::string> names(bool fronts) const
    {
        std::vector<std::string> found;
        for (const Node &node : this->nodes) {
            if (node.front == fronts) {
                found.push_back(node.name);
            }
        }
        return found;
    }

    std::string ipOf(const std::string &name)
    {
        return this->find(name).ip;
    }

    // For replicas.
    std::string freeIp(std::size_t number) const
    {
        return this->prefix + std::to_string(200 + number);
    }

    unsigned short replicaPort() const
    {
        return this->firstPort + 10;
    }

    unsigned short callerPort() const
    {
        return this->firstPort + 3;
    }

    // The operator, a replica or the provider calls a control process.
    Message control(const std::string &name, const std::string &method, const std::string &path, const std::string &body = {})
    {
        return call(this->find(name).ip,
                    this->firstPort + 1,
                    Message{.start = method + " " + path + " HTTP/1.1", .headers = {{"Host", "control"}}, .body = body},
                    Milliseconds(1000));
    }

    bool isReady(const std::string &front)
    {
        const Message request{.start = "GET /v1/readiness HTTP/1.1", .headers = {{"Host", "front"}}};
        return call(this->find(front).ip, this->firstPort + 4, request, Milliseconds(1000)).status() == 200;
    }

    // Sends the order to one control process after the other until one acknowledges it.
    bool putManifest(const std::string &manifest, Milliseconds limit = Milliseconds(15000))
    {
        const Clock::time_point end = Clock::now() + limit;
        while (Clock::now() < end) {
            for (const std::string &name : this->names(false)) {
                const unsigned status = this->control(name, "PUT", "/v1/configuration", manifest).status();
                if (status == 200) {
                    this->record.add("operator: " + name + " acknowledges the manifest");
                    return true;
                }
            }
            sleepFor(Milliseconds(100));
        }
        return false;
    }

    bool waitUntilReady(Milliseconds limit = Milliseconds(15000))
    {
        const Clock::time_point end = Clock::now() + limit;
        while (Clock::now() < end) {
            bool ready = true;
            for (const std::string &front : this->names(true)) {
                ready = ready && this->isReady(front);
            }
            if (ready) {
                return true;
            }
            sleepFor(Milliseconds(50));
        }
        return false;
    }

    Message metrics(const std::string &name)
    {
        const Message request{.start = "GET /metrics HTTP/1.1", .headers = {{"Host", "metrics"}}};
        return call(this->find(name).ip, this->firstPort + 5, request, Milliseconds(1000));
    }

    // For a control process that isn't running.
    void removeDisk(const std::string &name) const
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder / (name + ".data"), ignored);
    }

private:
    struct Node
    {
        std::string name;
        std::string ip;
        bool front = false;
        pid_t process = 0;
    };

    // As in deploy/system.toml; the working directory is the root of the repository.
    static constexpr const char *program = "target/bin/galenawell-node";

    Node &find(const std::string &name)
    {
        for (Node &node : this->nodes) {
            if (node.name == name) {
                return node;
            }
        }
        std::_Exit(couldNotRun);
    }

    std::string settingsFile(const Node &node) const
    {
        return (this->folder / (node.name + ".json")).string();
    }

    // The fields of deploy/settings.template.
    void writeSettings(const Node &node) const
    {
        const auto at = [&node, this](int offset) { return "\"" + node.ip + ":" + std::to_string(this->firstPort + offset) + "\""; };
        std::ostringstream text;
        text << R"({"instance":")" << node.name << R"(","role":")" << (node.front ? "front" : "control") << R"(","dataCentre":"zone-1")"
             << R"(,"peerAddress":)" << at(0) << R"(,"metricsAddress":)" << at(5) << R"(,"peerKey":"galenawell-region","seeds":[)";
        std::size_t seeds = 0;
        for (const Node &seed : this->nodes) {
            if (!seed.front && seeds < 3) {
                text << (seeds++ > 0 ? "," : "") << '"' << seed.ip << ':' << this->firstPort + 1 << '"';
            }
        }
        text << R"(],"callerAddress":)" << (node.front ? at(3) : "null") << R"(,"readinessAddress":)" << (node.front ? at(4) : "null")
             << R"(,"controlAddress":)" << (node.front ? "null" : at(1)) << R"(,"directoryAddress":)" << (node.front ? "null" : at(2))
             << R"(,"dataFolder":")" << (node.front ? "" : (this->folder / (node.name + ".data")).string()) << R"(","foundInstallation":)"
             << (this->founded ? "false" : "true") << R"(,"toleratedLosses":1,"heartbeatIntervalMs":)" << heartbeatInterval.count()
             << R"(,"gracePeriodMs":6000,"extraLoadPercent":20,"extraLoadSlack":)" << retrySlack << "}";
        std::ofstream(this->settingsFile(node)) << text.str();
    }

    Record &record;
    std::filesystem::path folder;
    std::string prefix;
    unsigned short firstPort = 0;
    std::vector<Node> nodes;
    bool founded = false;
};

// Pings for replicas as the pages tell it: each stays with the control process that acknowledged its last ping, and goes on to
// the next one after a failure.
class Heartbeats
{
public:
    Heartbeats(Platform &sharedPlatform, Record &sharedRecord)
        : platform(sharedPlatform)
        , record(sharedRecord)
    {
    }

    ~Heartbeats()
    {
        this->stopped = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
    }

    Heartbeats(const Heartbeats &) = delete;
    Heartbeats &operator=(const Heartbeats &) = delete;

    // Pings the replica until stop() names it; a replica that is down sends nothing.
    void start(Replica &replica, std::size_t firstControl)
    {
        this->threads.emplace_back([this, &replica, firstControl] {
            const std::vector<std::string> controls = this->platform.names(false);
            std::size_t target = firstControl;
            while (!this->isStopped(replica)) {
                for (std::size_t attempt = 0; attempt < controls.size() && replica.isListening() && !this->isStopped(replica); ++attempt) {
                    const std::string &control = controls[target % controls.size()];
                    if (this->platform.control(control, "PUT", "/v1/instances/" + replica.id(), replica.ping("ready")).status() == 200) {
                        break;
                    }
                    this->record.add("replica " + replica.id() + ": no ack from " + control);
                    ++target;
                }
                for (int part = 0; part < 12 && !this->isStopped(replica); ++part) {
                    sleepFor(heartbeatInterval / 12);
                }
            }
        });
    }

    void stop(const Replica &replica)
    {
        const std::lock_guard lock(this->mutex);
        this->stoppedReplicas[&replica] = true;
    }

private:
    bool isStopped(const Replica &replica)
    {
        const std::lock_guard lock(this->mutex);
        return this->stopped || this->stoppedReplicas.contains(&replica);
    }

    Platform &platform;
    Record &record;
    std::mutex mutex;
    std::map<const Replica *, bool> stoppedReplicas;
    std::atomic<bool> stopped{false};
    std::vector<std::thread> threads;
};

inline std::string newAttemptId()
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

constexpr const char *clientHost = "board.example";

// A route in the form of the pages; the target is a member such as "service":"NAME".
struct RouteOptions
{
    std::string name;
    std::string prefix;
    std::string target;
    std::string kind = "safe";
    int timeoutMs = 2000;
};

inline std::string manifest(std::uint64_t version, const std::vector<RouteOptions> &routes, const std::vector<std::string> &services)
{
    std::ostringstream text;
    text << R"({"version":)" << version << R"(,"routes":[)";
    for (std::size_t index = 0; index < routes.size(); ++index) {
        const RouteOptions &route = routes[index];
        text << (index > 0 ? "," : "") << R"({"name":")" << route.name << R"(","host":")" << clientHost << R"(","path_prefix":")"
             << route.prefix << R"(","kind":")" << route.kind << R"(","timeout_ms":)" << route.timeoutMs
             << R"(,"target_latency_ms":300,"priority":1,"max_attempts":2,)" << route.target << "}";
    }
    text << R"(],"services":[)";
    for (std::size_t index = 0; index < services.size(); ++index) {
        text << (index > 0 ? "," : "") << R"({"name":")" << services[index]
             << R"(","health_check_path":"/health","connection_limit":100,"protocol":"h1","use_tls":false})";
    }
    text << R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    return text.str();
}

struct ClientRequest
{
    std::string path;
    std::string method = "GET";
    std::string body{};
    int timeRemainingMs = 2000;
};

inline Message clientMessage(const ClientRequest &request, const std::string &id)
{
    return Message{.start = request.method + " " + request.path + " HTTP/1.1",
                   .headers = {{"Host", clientHost}, {"Attempt-Id", id}, {"Time-Remaining", std::to_string(request.timeRemainingMs)}},
                   .body = request.body};
}

// Sends one client attempt to a front and records it.
inline Message send(Platform &platform, Record &record, const std::string &front, const ClientRequest &request)
{
    const std::string id = newAttemptId();
    record.add("client sends " + id + " " + request.path + " to " + front);
    Message answer
        = call(platform.ipOf(front), platform.callerPort(), clientMessage(request, id), Milliseconds(request.timeRemainingMs + 1500));
    record.add("client gets " + (answer.start.empty() ? std::string("no answer") : std::to_string(answer.status())) + " for " + id);
    return answer;
}

} // namespace Review

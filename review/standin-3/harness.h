// Small stand-ins for scripted cases: an installation of platform nodes as separate processes on loopback addresses, backend
// servers, a writer of announcements, callers and an operator. Only POSIX and the standard library are used.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
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
#include <optional>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Harness {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

// What a backend server ran.
struct Run
{
    TimePoint at;
    std::string id;
    std::string method;
    std::string target;
    std::string body;
};

// Exit codes of a script.
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int couldNotRun = 2;

inline constexpr int peerPort = 7740;
inline constexpr int controlPort = 8224;
inline constexpr int directoryPort = 8225;
inline constexpr int callerPort = 8226;
inline constexpr int readinessPort = 8227;

inline void pause(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

// A block of loopback addresses that no other run uses at the same time.
inline std::string addressPrefix()
{
    const unsigned process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + process % 200) + "." + std::to_string(1 + process / 200 % 250) + ".";
}

// Writes what was sent, answered and run, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : file(path, std::ios::trunc)
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->start).count();
        this->file << elapsed << " ms  " << text << std::endl;
        std::printf("%lld ms  %s\n", static_cast<long long>(elapsed), text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex mutex;
    std::ofstream file;
    const TimePoint start = Clock::now();
};

// Owns a socket.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int openDescriptor)
        : descriptor(openDescriptor)
    {
    }
    Socket(Socket &&other) noexcept
        : descriptor(std::exchange(other.descriptor, -1))
    {
    }
    Socket &operator=(Socket &&other) noexcept
    {
        std::swap(this->descriptor, other.descriptor);
        return *this;
    }
    ~Socket()
    {
        this->close();
    }

    bool isOpen() const
    {
        return this->descriptor >= 0;
    }
    int number() const
    {
        return this->descriptor;
    }
    void close()
    {
        if (this->descriptor >= 0) {
            ::close(std::exchange(this->descriptor, -1));
        }
    }

private:
    int descriptor = -1;
};

inline std::optional<sockaddr_in> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    if (colon == std::string::npos || ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1) {
        return std::nullopt;
    }
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return result;
}

inline void setTimeout(const Socket &socket, Milliseconds timeout)
{
    timeval value{.tv_sec = timeout.count() / 1000, .tv_usec = timeout.count() % 1000 * 1000};
    ::setsockopt(socket.number(), SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
    ::setsockopt(socket.number(), SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
}

inline Socket connectTo(const std::string &address, Milliseconds timeout, int receiveBuffer = 0)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const std::optional<sockaddr_in> target = parseAddress(address);
    if (!target || !socket.isOpen()) {
        return {};
    }
    setTimeout(socket, timeout);
    if (receiveBuffer > 0) {
        ::setsockopt(socket.number(), SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    const int on = 1;
    ::setsockopt(socket.number(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(socket.number(), reinterpret_cast<const sockaddr *>(&*target), sizeof(*target)) != 0) {
        return {};
    }
    return socket;
}

inline bool sendAll(const Socket &socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(socket.number(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// An HTTP message; of a request, `first` and `second` are the method and the target; of a reply, `second` is the status.
struct Message
{
    std::string first;
    std::string second;
    // Names in lower case.
    std::multimap<std::string, std::string> headers;
    std::string body;
    // The message arrived whole.
    bool complete = false;

    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
    int status() const
    {
        return this->second.empty() ? 0 : std::atoi(this->second.c_str());
    }
};

// Reads messages from one connection; bytes after a message are kept for the next one.
class Reader
{
public:
    explicit Reader(const Socket &openSocket)
        : socket(openSocket)
    {
    }

    // Reads a message with a length or without a body. Not complete if the connection ends or times out before.
    Message read(bool replyHasBody = true)
    {
        Message message;
        std::size_t end = std::string::npos;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more()) {
                return message;
            }
        }
        std::istringstream head(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        std::istringstream(line) >> message.first >> message.second;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace(lower(line.substr(0, colon)), value == std::string::npos ? std::string() : line.substr(value));
        }
        const std::string length = message.header("content-length");
        const std::size_t size = length.empty() || !replyHasBody ? 0 : std::stoul(length);
        while (this->buffer.size() < size) {
            if (!this->more()) {
                message.body = std::exchange(this->buffer, {});
                return message;
            }
        }
        message.body = this->buffer.substr(0, size);
        this->buffer.erase(0, size);
        message.complete = true;
        return message;
    }

private:
    bool more()
    {
        char bytes[65536];
        const ssize_t count = ::recv(this->socket.number(), bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    const Socket &socket;
    std::string buffer;
};

struct Call
{
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    // Lines that end with CRLF.
    std::string headers{};
    std::string body{};
    Milliseconds timeout{3000};
};

inline std::string encode(const Call &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n" + request.headers;
    if (!request.body.empty()) {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

// Sends the request on a new connection. The status is 0 if no reply arrived.
inline Message call(const Call &request)
{
    const Socket socket = connectTo(request.address, request.timeout);
    if (!socket.isOpen() || !sendAll(socket, encode(request))) {
        return {};
    }
    return Reader(socket).read();
}

// Sends the request of a caller, with an id of its own.
inline Call
callerRequest(const std::string &front, const std::string &path, const std::string &id, Milliseconds timeLeft = Milliseconds(2000))
{
    return Call{.address = front,
                .target = path,
                .headers
                = "Host: callers.example\r\nAttempt-Id: " + id + "\r\nTime-Remaining: " + std::to_string(timeLeft.count()) + "\r\n",
                .timeout = timeLeft + Milliseconds(500)};
}

// A backend server that runs every request that names it, or names none, and refuses others with 421.
class Server
{
public:
    struct Options
    {
        std::string service;
        std::string identity;
        std::string zone = "zone-a";
        Milliseconds work{5};
        std::string body = "0123456789abcdef";
    };

    Server(Options serverOptions, Record &sharedRecord)
        : options(std::move(serverOptions))
        , record(sharedRecord)
        , born(unixMilliseconds())
    {
        this->listener = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in any{};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(any);
        if (::bind(this->listener.number(), reinterpret_cast<sockaddr *>(&any), size) != 0 || ::listen(this->listener.number(), 512) != 0
            || ::getsockname(this->listener.number(), reinterpret_cast<sockaddr *>(&any), &size) != 0) {
            std::perror("a stand-in can't listen");
            std::_Exit(couldNotRun);
        }
        this->listenAddress = "127.0.0.1:" + std::to_string(ntohs(any.sin_port));
        std::thread([this] { this->accept(); }).detach();
    }

    const std::string &address() const
    {
        return this->listenAddress;
    }
    const std::string &identity() const
    {
        return this->options.identity;
    }
    const std::string &service() const
    {
        return this->options.service;
    }
    std::int64_t bornAt() const
    {
        return this->born;
    }
    std::vector<Run> runs() const
    {
        const std::lock_guard lock(this->mutex);
        return this->allRuns;
    }

    // The body of its own announcements.
    std::string heartbeat(const std::string &state)
    {
        std::ostringstream text;
        text << R"({"service":")" << this->options.service << R"(","address":")" << this->listenAddress << R"(","zone":")"
             << this->options.zone << R"(","version":"v1","slots":8,"state":")" << state << R"(","warmup_remaining_ms":0,"sequence":)"
             << ++this->sequence << R"(,"born":)" << this->born << "}";
        return text.str();
    }

private:
    void accept()
    {
        for (;;) {
            const int descriptor = ::accept4(this->listener.number(), nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            std::thread([this, descriptor] { this->serve(Socket(descriptor)); }).detach();
        }
    }

    void serve(const Socket &socket)
    {
        const int on = 1;
        ::setsockopt(socket.number(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        Reader reader(socket);
        for (;;) {
            const Message request = reader.read();
            if (!request.complete) {
                return;
            }
            const std::string id = request.header("attempt-id");
            const std::string expected = request.header("expected-instance");
            if (!expected.empty() && expected != this->options.identity) {
                this->record.line(this->options.identity + " refuses " + id + " with 421, as it is for " + expected);
                sendAll(socket,
                        "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            std::size_t number = 0;
            {
                const std::lock_guard lock(this->mutex);
                this->allRuns.push_back(
                    {.at = Clock::now(), .id = id, .method = request.first, .target = request.second, .body = request.body});
                number = this->allRuns.size();
            }
            this->record.line(this->options.identity + " of " + this->options.service + " runs " + request.first + " " + request.second
                              + " " + id);
            pause(this->options.work);
            const std::string stamp = this->options.identity + "." + std::to_string(number) + "." + id;
            const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: " + stamp
                + "\r\nContent-Length: " + std::to_string(this->options.body.size()) + "\r\n\r\n";
            if (!sendAll(socket, head + this->options.body)) {
                return;
            }
        }
    }

    Options options;
    Record &record;
    const std::int64_t born;
    Socket listener;
    std::string listenAddress;
    mutable std::mutex mutex;
    std::vector<Run> allRuns;
    std::atomic<std::uint64_t> sequence{0};
};

// Control processes and fronts, started with the command of the deploy file and settings as its template renders them.
class Installation
{
public:
    struct Node
    {
        std::string name;
        std::string ip;
        bool front = false;
        pid_t process = 0;
    };

    Installation(std::size_t controls, std::size_t fronts, Record &sharedRecord)
        : record(sharedRecord)
        , prefix(addressPrefix())
        , folder(std::filesystem::temp_directory_path() / ("review-3-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(this->folder);
        for (std::size_t index = 1; index <= controls; ++index) {
            this->nodes.push_back({.name = "control-" + std::to_string(index), .ip = this->prefix + std::to_string(index)});
        }
        for (std::size_t index = 1; index <= fronts; ++index) {
            this->nodes.push_back(
                {.name = "front-" + std::to_string(index), .ip = this->prefix + std::to_string(100 + index), .front = true});
        }
        for (std::size_t index = 1; index <= std::min<std::size_t>(controls, 3); ++index) {
            this->seedNumbers.push_back(index);
        }
    }

    ~Installation()
    {
        for (const Node &node : this->nodes) {
            this->kill(node.name);
        }
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    // Numbers of the control processes that the settings of later starts name.
    void setSeeds(std::vector<std::size_t> numbers)
    {
        this->seedNumbers = std::move(numbers);
    }

    // `first`: the whole system starts for the first time.
    void start(const std::string &name, bool first)
    {
        Node &node = this->find(name);
        this->writeSettings(node, first);
        const std::string file = (this->folder / (name + ".json")).string();
        const std::string log = (this->folder / (name + ".log")).string();
        const pid_t child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::setenv("GALENAWELL_NODE_FILE", file.c_str(), 1);
            ::execl("target/bin/galenawell-node", "target/bin/galenawell-node", static_cast<char *>(nullptr));
            std::_Exit(127);
        }
        node.process = child;
        this->record.line("started " + name + (first ? "" : " again"));
    }

    void startAll()
    {
        for (const Node &node : this->nodes) {
            this->start(node.name, true);
        }
    }

    void signal(const std::string &name, int number)
    {
        ::kill(this->find(name).process, number);
    }

    void kill(const std::string &name)
    {
        Node &node = this->find(name);
        if (node.process > 0) {
            ::kill(node.process, SIGKILL);
            ::waitpid(node.process, nullptr, 0);
            node.process = 0;
        }
    }

    // True if the process has ended by itself.
    bool hasEnded(const std::string &name)
    {
        Node &node = this->find(name);
        int status = 0;
        if (node.process > 0 && ::waitpid(node.process, &status, WNOHANG) == node.process) {
            this->record.line(name + " has ended with status " + std::to_string(status));
            node.process = 0;
        }
        return node.process == 0;
    }

    std::string control(std::size_t index) const
    {
        return this->prefix + std::to_string(index) + ":" + std::to_string(controlPort);
    }
    std::string front(std::size_t index) const
    {
        return this->prefix + std::to_string(100 + index) + ":" + std::to_string(callerPort);
    }
    std::string readiness(std::size_t index) const
    {
        return this->prefix + std::to_string(100 + index) + ":" + std::to_string(readinessPort);
    }
    std::size_t controls() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->nodes.begin(), this->nodes.end(), [](const Node &node) { return !node.front; }));
    }
    std::size_t fronts() const
    {
        return this->nodes.size() - this->controls();
    }
    std::filesystem::path logOf(const std::string &name) const
    {
        return this->folder / (name + ".log");
    }

    // Sends a change to one control process after the other until one acknowledges it.
    bool putManifest(const std::string &manifest, Milliseconds limit = Milliseconds(20000))
    {
        const TimePoint end = Clock::now() + limit;
        int lastStatus = 0;
        while (Clock::now() < end) {
            for (std::size_t index = 1; index <= this->controls(); ++index) {
                const Message reply = call({.address = this->control(index),
                                            .method = "PUT",
                                            .target = "/v1/configuration",
                                            .headers = "Host: operator\r\nContent-Type: application/json\r\n",
                                            .body = manifest,
                                            .timeout = Milliseconds(1000)});
                lastStatus = reply.status();
                if (reply.status() == 200) {
                    this->record.line("the manifest is acknowledged: " + reply.body);
                    return true;
                }
            }
            pause(Milliseconds(100));
        }
        this->record.line("the manifest isn't acknowledged; the last status is " + std::to_string(lastStatus));
        return false;
    }

    // Sends an announcement to the control processes in turn, as a server does, until one acknowledges it.
    int announce(const std::string &identity, const std::string &body, std::size_t firstControl = 1)
    {
        return this->callInstances("PUT", identity, body, firstControl);
    }
    int leave(const std::string &identity, std::size_t firstControl = 1)
    {
        return this->callInstances("DELETE", identity, {}, firstControl);
    }

    bool waitReady(Milliseconds limit = Milliseconds(20000))
    {
        const TimePoint end = Clock::now() + limit;
        for (std::size_t index = 1; index <= this->fronts(); ++index) {
            while (call({.address = this->readiness(index), .target = "/v1/readiness", .headers = "Host: provider\r\n"}).status() != 200) {
                if (Clock::now() > end) {
                    this->record.line("front-" + std::to_string(index) + " isn't ready");
                    return false;
                }
                pause(Milliseconds(50));
            }
        }
        this->record.line("all fronts are ready");
        return true;
    }

private:
    Node &find(const std::string &name)
    {
        return *std::find_if(this->nodes.begin(), this->nodes.end(), [&name](const Node &node) { return node.name == name; });
    }

    int callInstances(const std::string &method, const std::string &identity, const std::string &body, std::size_t firstControl)
    {
        int status = 0;
        for (std::size_t turn = 0; turn < this->controls(); ++turn) {
            const std::size_t index = (firstControl - 1 + turn) % this->controls() + 1;
            status = call({.address = this->control(index),
                           .method = method,
                           .target = "/v1/instances/" + identity,
                           .headers = "Host: control\r\nContent-Type: application/json\r\n",
                           .body = body,
                           .timeout = Milliseconds(1000)})
                         .status();
            if (status == 200) {
                return status;
            }
        }
        return status;
    }

    void writeSettings(const Node &node, bool first) const
    {
        std::string seeds;
        for (const std::size_t index : this->seedNumbers) {
            seeds += (seeds.empty() ? "\"" : ",\"") + this->control(index) + "\"";
        }
        const auto listen = [&node](int port) { return node.ip + ":" + std::to_string(port); };
        std::ofstream file(this->folder / (node.name + ".json"));
        file << "{\n"
             << R"(  "instance": ")" << node.name << "\",\n"
             << R"(  "role": ")" << (node.front ? "front" : "control") << "\",\n"
             << "  \"dataCentre\": \"zone-a\",\n"
             << R"(  "peerAddress": ")" << listen(peerPort) << "\",\n"
             << "  \"peerKey\": \"galenawell-review\",\n"
             << "  \"seeds\": [" << seeds << "],\n"
             << R"(  "callerAddress": ")" << (node.front ? listen(callerPort) : "") << "\",\n"
             << R"(  "readinessAddress": ")" << (node.front ? listen(readinessPort) : "") << "\",\n"
             << R"(  "controlAddress": ")" << (node.front ? "" : listen(controlPort)) << "\",\n"
             << R"(  "directoryAddress": ")" << (node.front ? "" : listen(directoryPort)) << "\",\n"
             << R"(  "dataFolder": ")" << (node.front ? "" : (this->folder / node.name).string()) << "\",\n"
             << "  \"foundInstallation\": " << (first ? "true" : "false") << ",\n"
             << "  \"toleratedLosses\": 1,\n"
             << "  \"heartbeatIntervalMs\": 1200,\n"
             << "  \"gracePeriodMs\": 6000,\n"
             << "  \"extraLoadPercent\": 20,\n"
             << "  \"extraLoadSlack\": 54\n"
             << "}\n";
    }

    Record &record;
    std::string prefix;
    std::filesystem::path folder;
    std::vector<Node> nodes;
    std::vector<std::size_t> seedNumbers;
};

// Renews the announcement of servers every 1,200 ms, at one control process as long as it answers.
class Announcer
{
public:
    Announcer(Installation &sharedInstallation, std::vector<Server *> announcedServers)
        : installation(sharedInstallation)
        , servers(std::move(announcedServers))
        , worker([this](const std::stop_token &stop) { this->run(stop); })
    {
    }

    void remove(const Server &server)
    {
        const std::lock_guard lock(this->mutex);
        std::erase(this->servers, &server);
    }

private:
    void run(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            const TimePoint next = Clock::now() + Milliseconds(1200);
            {
                const std::lock_guard lock(this->mutex);
                for (Server *server : this->servers) {
                    this->installation.announce(server->identity(), server->heartbeat("ready"));
                }
            }
            while (Clock::now() < next && !stop.stop_requested()) {
                pause(Milliseconds(20));
            }
        }
    }

    Installation &installation;
    std::mutex mutex;
    std::vector<Server *> servers;
    std::jthread worker;
};

// A manifest with a route of each service, at the path "/SERVICE/" of one host. `kinds` has a kind for each service.
struct ManifestOptions
{
    int version = 1;
    std::vector<std::string> services;
    std::vector<std::string> kinds;
    std::uint32_t maximumHeaderBytes = 16384;
};

inline constexpr const char *callerHost = "callers.example";

inline std::string makeManifest(const ManifestOptions &options)
{
    std::ostringstream text;
    text << R"({"version":)" << options.version << R"(,"routes":[)";
    for (std::size_t index = 0; index < options.services.size(); ++index) {
        const std::string &service = options.services[index];
        text << (index == 0 ? "" : ",") << R"({"name":"r-)" << service << R"(","host":")" << callerHost << R"(","path_prefix":"/)"
             << service << R"(/","kind":")" << options.kinds[index]
             << R"(","timeout_ms":3000,"target_latency_ms":500,"priority":0,"service":")" << service << R"(","max_attempts":2})";
    }
    text << R"(],"services":[)";
    for (std::size_t index = 0; index < options.services.size(); ++index) {
        text << (index == 0 ? "" : ",") << R"({"name":")" << options.services[index]
             << R"(","health_check_path":"/health","connection_limit":41,"protocol":"h1","use_tls":false})";
    }
    text << R"(],"limits":{"max_header_bytes":)" << options.maximumHeaderBytes
         << R"(,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    return text.str();
}

// Runs a case and ends the process with its exit code. Threads of stand-ins may still run then.
inline void runCase(int (*body)(Record &), int argumentCount, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGALRM, [](int) { ::_exit(couldNotRun); });
    ::alarm(110);
    auto *record = new Record(argumentCount > 1 ? arguments[1] : "record.txt");
    const int code = body(*record);
    record->line(code == ruleHeld         ? "result: the rule held"
                     : code == ruleBroken ? "result: the rule was broken"
                                          : "result: the case couldn't run");
    std::_Exit(code);
}

inline bool troubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace Harness

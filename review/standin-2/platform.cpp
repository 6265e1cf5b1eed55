#include "platform.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds pingInterval{1200};

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int listenAt(const std::string &ip, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf(ip, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(descriptor, 256) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

std::string inQuotes(const std::string &text)
{
    return '"' + text + '"';
}

std::string endpointText(const std::string &ip, int port)
{
    return inQuotes(ip + ":" + std::to_string(port));
}

int waitTime(TimePoint until)
{
    return static_cast<int>(std::max<std::int64_t>(0, std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count()));
}

} // namespace

Record::Record(const std::string &path)
    : start(Clock::now())
    , file(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    if (this->file != nullptr) {
        std::fclose(this->file);
    }
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    const auto passed = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->start);
    if (this->file != nullptr) {
        std::fprintf(this->file, "%8.3f %s\n", static_cast<double>(passed.count()) / 1000, text.c_str());
        std::fflush(this->file);
    }
}

std::string Message::header(const std::string &lowerCaseName) const
{
    const auto found = this->headers.find(lowerCaseName);
    return found == this->headers.end() ? std::string() : found->second;
}

Connection::Connection(int openDescriptor)
    : descriptor(openDescriptor)
{
    const int on = 1;
    ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    this->close();
}

bool Connection::ended() const
{
    return this->hasEnded;
}

void Connection::close()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
        this->descriptor = -1;
    }
}

std::shared_ptr<Connection> Connection::open(const std::string &ip, int port, Milliseconds timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = addressOf(ip, port);
    int status = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (status != 0 && errno == EINPROGRESS) {
        pollfd ready{.fd = descriptor, .events = POLLOUT, .revents = 0};
        int error = ETIMEDOUT;
        socklen_t size = sizeof error;
        if (::poll(&ready, 1, static_cast<int>(timeout.count())) == 1) {
            ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        status = error == 0 ? 0 : -1;
    }
    if (status != 0) {
        ::close(descriptor);
        return nullptr;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return std::make_shared<Connection>(descriptor);
}

bool Connection::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::readMore(TimePoint until)
{
    pollfd ready{.fd = this->descriptor, .events = POLLIN, .revents = 0};
    if (::poll(&ready, 1, waitTime(until)) != 1) {
        return false;
    }
    char bytes[16384];
    const ssize_t count = ::recv(this->descriptor, bytes, sizeof bytes, 0);
    if (count <= 0) {
        this->hasEnded = true;
        return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Connection::read(Message &message, bool isResponse, Milliseconds timeout)
{
    const TimePoint until = Clock::now() + timeout;
    std::size_t headEnd = std::string::npos;
    while ((headEnd = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->readMore(until)) {
            return false;
        }
    }
    const std::string head = this->buffer.substr(0, headEnd + 2);
    this->buffer.erase(0, headEnd + 4);
    std::size_t position = head.find("\r\n");
    const std::string first = head.substr(0, position);
    const std::size_t space = first.find(' ');
    if (isResponse) {
        message.status = std::atoi(first.c_str() + space + 1);
    } else {
        message.method = first.substr(0, space);
        message.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    }
    position += 2;
    while (position < head.size()) {
        const std::size_t end = head.find("\r\n", position);
        const std::size_t colon = head.find(':', position);
        std::string value = head.substr(colon + 1, end - colon - 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers[lowerCase(head.substr(position, colon - position))] = value;
        position = end + 2;
    }
    if (lowerCase(message.header("transfer-encoding")) == "chunked") {
        for (;;) {
            std::size_t lineEnd = std::string::npos;
            while ((lineEnd = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->readMore(until)) {
                    return false;
                }
            }
            const std::size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
            while (this->buffer.size() < lineEnd + 2 + size + 2) {
                if (!this->readMore(until)) {
                    return false;
                }
            }
            message.body += this->buffer.substr(lineEnd + 2, size);
            this->buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    while (this->buffer.size() < length) {
        if (!this->readMore(until)) {
            return false;
        }
    }
    message.body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    return true;
}

bool Connection::waitReadable(Milliseconds timeout) const
{
    if (!this->buffer.empty()) {
        return true;
    }
    pollfd ready{.fd = this->descriptor, .events = POLLIN, .revents = 0};
    return ::poll(&ready, 1, static_cast<int>(timeout.count())) == 1;
}

Message call(const Call &request)
{
    const TimePoint until = Clock::now() + request.timeout;
    Message answer;
    const std::shared_ptr<Connection> connection = Connection::open(request.ip, request.port, request.timeout);
    if (connection == nullptr) {
        return answer;
    }
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    if (lowerCase(request.headers).find("host:") == std::string::npos) {
        text += "Host: " + request.ip + "\r\n";
    }
    text += request.headers;
    if (!request.body.empty() || request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n" + request.body;
    if (!connection->send(text) || !connection->read(answer, true, Milliseconds(waitTime(until)))) {
        return Message{};
    }
    return answer;
}

std::string responseText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

Deployment::Deployment(std::size_t controlCount, std::size_t frontCount, Record &eventRecord)
    : record(eventRecord)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "galenawell-review-XXXXXX").string();
    this->folder = ::mkdtemp(pattern.data());
    std::random_device random;
    // An unused part of the loopback range.
    for (int attempt = 0; attempt < 100 && this->prefix.empty(); ++attempt) {
        const std::string candidate = "127." + std::to_string(30 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        const int probe = listenAt(candidate + "1", peerPort);
        if (probe >= 0) {
            ::close(probe);
            this->prefix = candidate;
        }
    }
    const auto zoneOf = [](std::size_t index) { return "zone-" + std::to_string((index - 1) % 3 + 1); };
    for (std::size_t index = 1; index <= controlCount; ++index) {
        this->nodes.push_back(
            {.name = "core-" + std::to_string(index), .ip = this->prefix + std::to_string(index), .zone = zoneOf(index), .front = false});
    }
    for (std::size_t index = 1; index <= frontCount; ++index) {
        this->nodes.push_back({.name = "front-" + std::to_string(index),
                               .ip = this->prefix + std::to_string(50 + index),
                               .zone = zoneOf(index),
                               .front = true});
    }
}

Deployment::~Deployment()
{
    for (Node &node : this->nodes) {
        if (node.process != 0) {
            ::kill(node.process, SIGKILL);
            ::waitpid(node.process, nullptr, 0);
        }
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(this->folder, ignored);
    }
}

Node &Deployment::find(const std::string &name)
{
    return *std::ranges::find(this->nodes, name, &Node::name);
}

const Node &Deployment::node(const std::string &name) const
{
    return *std::ranges::find(this->nodes, name, &Node::name);
}

std::vector<std::string> Deployment::names(bool fronts) const
{
    std::vector<std::string> found;
    for (const Node &node : this->nodes) {
        if (node.front == fronts) {
            found.push_back(node.name);
        }
    }
    return found;
}

std::string Deployment::ipPrefix() const
{
    return this->prefix;
}

// What deploy/settings.template makes of the platform's settings of such a machine.
void Deployment::writeSettings(const Node &node) const
{
    std::ofstream file(this->folder + "/" + node.name + ".json");
    file << "{\n\"instance\": " << inQuotes(node.name) << ",\n\"role\": " << inQuotes(node.front ? "front" : "control")
         << ",\n\"dataCentre\": " << inQuotes(node.zone) << ",\n\"peerAddress\": " << endpointText(node.ip, peerPort)
         << ",\n\"peerKey\": \"galenawell-region-1\",\n\"seeds\": [";
    for (int seed = 1; seed <= 3; ++seed) {
        file << (seed == 1 ? "" : ",") << endpointText(this->prefix + std::to_string(seed), controlPort);
    }
    file << "],\n\"callerAddress\": " << (node.front ? endpointText(node.ip, callerPort) : "\"\"")
         << ",\n\"readinessAddress\": " << (node.front ? endpointText(node.ip, readinessPort) : "\"\"")
         << ",\n\"controlAddress\": " << (node.front ? "\"\"" : endpointText(node.ip, controlPort))
         << ",\n\"directoryAddress\": " << (node.front ? "\"\"" : endpointText(node.ip, directoryPort))
         << ",\n\"dataFolder\": " << inQuotes(node.front ? "" : this->folder + "/" + node.name)
         << ",\n\"foundInstallation\": " << (this->bootstrap ? "true" : "false")
         << ",\n\"toleratedLosses\": 1,\n\"heartbeatIntervalMs\": 1200,\n\"gracePeriodMs\": 6000,\n\"extraLoadPercent\": 20,"
            "\n\"extraLoadSlack\": 54\n}\n";
}

void Deployment::start(const std::string &name)
{
    Node &node = this->find(name);
    this->writeSettings(node);
    const std::string settings = "GALENAWELL_NODE_FILE=" + this->folder + "/" + name + ".json";
    const std::string log = this->folder + "/" + name + ".log";
    // Set by run.sh to the root of the repository.
    const char *root = std::getenv("REVIEW_ROOT");
    const pid_t parent = ::getpid();
    // Closed by the exec, so that the process is the program itself when start() returns.
    int started[2] = {-1, -1};
    if (::pipe2(started, O_CLOEXEC) != 0) {
        return;
    }
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent || root == nullptr || ::chdir(root) != 0) {
            ::_exit(127);
        }
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        // The command of the deploy file.
        char program[] = "target/bin/galenawell-node";
        char *arguments[] = {program, nullptr};
        char *environment[] = {const_cast<char *>(settings.c_str()), nullptr};
        ::execve(program, arguments, environment);
        ::_exit(127);
    }
    ::close(started[1]);
    char ignored = 0;
    while (::read(started[0], &ignored, 1) > 0) {
    }
    ::close(started[0]);
    node.process = child;
    this->record.line("process " + name + " starts");
}

void Deployment::startAll()
{
    for (const Node &node : this->nodes) {
        this->start(node.name);
    }
    sleepFor(500ms);
    // Only the first start of the whole deployment may found it.
    this->bootstrap = false;
}

void Deployment::signal(const std::string &name, int number)
{
    this->record.line("process " + name + " gets signal " + std::to_string(number));
    ::kill(this->find(name).process, number);
}

void Deployment::wait(const std::string &name)
{
    Node &node = this->find(name);
    ::waitpid(node.process, nullptr, 0);
    node.process = 0;
}

bool Deployment::ended(const std::string &name)
{
    siginfo_t information{};
    const auto process = static_cast<id_t>(this->find(name).process);
    return process != 0 && ::waitid(P_PID, process, &information, WEXITED | WNOHANG | WNOWAIT) == 0
        && information.si_pid == static_cast<pid_t>(process);
}

Message Deployment::putManifestTo(const std::string &control, const std::string &manifest) const
{
    return call({.ip = this->node(control).ip,
                 .port = controlPort,
                 .method = "PUT",
                 .target = "/v1/configuration",
                 .headers = "Content-Type: application/json\r\n",
                 .body = manifest});
}

Message Deployment::getManifest(const std::string &control) const
{
    return call({.ip = this->node(control).ip, .port = controlPort, .target = "/v1/configuration"});
}

bool Deployment::putManifest(const std::string &manifest, Milliseconds timeout)
{
    const std::vector<std::string> controls = this->names(false);
    return waitUntil(
        [&] {
            const std::string &control = controls[this->nextControl++ % controls.size()];
            const int status = this->putManifestTo(control, manifest).status;
            this->record.line("operator: manifest to " + control + ": " + std::to_string(status));
            return status == 200;
        },
        timeout);
}

bool Deployment::tellControl(const std::string &method, const std::string &identity, const std::string &body)
{
    const std::vector<std::string> controls = this->names(false);
    for (std::size_t attempt = 0; attempt < controls.size(); ++attempt) {
        const Message answer = call({.ip = this->node(controls[this->nextControl++ % controls.size()]).ip,
                                     .port = controlPort,
                                     .method = method,
                                     .target = "/v1/instances/" + identity,
                                     .headers = "Content-Type: application/json\r\n",
                                     .body = body});
        if (answer.status >= 200 && answer.status < 300) {
            return true;
        }
    }
    return false;
}

bool Deployment::ready(const std::string &front) const
{
    return call({.ip = this->node(front).ip, .port = readinessPort, .target = "/v1/readiness"}).status == 200;
}

Replica::Replica(ReplicaOptions replicaOptions, Deployment &ownDeployment, Record &eventRecord, Handler requestHandler)
    : options(std::move(replicaOptions))
    , deployment(ownDeployment)
    , record(eventRecord)
    , handler(std::move(requestHandler))
    , listener(listenAt(this->options.ip, this->options.port))
    , born(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    const std::lock_guard lock(this->threadsMutex);
    this->threads.emplace_back([this] { this->accept(); });
}

Replica::~Replica()
{
    this->stopping = true;
    this->pinging = false;
    ::shutdown(this->listener, SHUT_RDWR);
    for (;;) {
        std::vector<std::thread> ending;
        {
            const std::lock_guard lock(this->threadsMutex);
            ending.swap(this->threads);
        }
        if (ending.empty()) {
            break;
        }
        for (std::thread &thread : ending) {
            thread.join();
        }
    }
    ::close(this->listener);
}

void Replica::accept()
{
    while (!this->stopping) {
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const std::lock_guard lock(this->threadsMutex);
        this->threads.emplace_back([this, connection = std::make_shared<Connection>(descriptor)] { this->serve(connection); });
    }
}

void Replica::serve(std::shared_ptr<Connection> connection)
{
    while (!this->stopping) {
        if (!connection->waitReadable(200ms)) {
            continue;
        }
        Message request;
        if (this->stopping || !connection->read(request, false, 5000ms)) {
            return;
        }
        this->handler(*connection, request);
    }
}

void Replica::crash()
{
    this->hasCrashed = true;
    this->stopping = true;
    this->pinging = false;
    ::shutdown(this->listener, SHUT_RDWR);
}

bool Replica::crashed() const
{
    return this->hasCrashed;
}

bool Replica::ping()
{
    std::string body;
    {
        const std::lock_guard lock(this->pingMutex);
        body = "{\"service\":" + inQuotes(this->options.service) + ",\"address\":" + endpointText(this->options.ip, this->options.port)
            + ",\"zone\":" + inQuotes(this->options.zone) + ",\"version\":\"v1\",\"slots\":" + std::to_string(this->options.slots)
            + ",\"state\":" + inQuotes(this->state) + ",\"warmup_remaining_ms\":0,\"sequence\":" + std::to_string(++this->sequence)
            + ",\"born\":" + std::to_string(this->born) + "}";
    }
    return this->deployment.tellControl("PUT", this->options.identity, body);
}

void Replica::startPings()
{
    this->pinging = true;
    const std::lock_guard lock(this->threadsMutex);
    this->threads.emplace_back([this] {
        while (this->pinging) {
            const bool acknowledged = this->ping();
            const TimePoint next = Clock::now() + (acknowledged ? pingInterval : Milliseconds(100));
            while (this->pinging && Clock::now() < next) {
                sleepFor(20ms);
            }
        }
    });
}

void Replica::stopPings()
{
    this->pinging = false;
}

void Replica::setState(const std::string &newState)
{
    const std::lock_guard lock(this->pingMutex);
    this->state = newState;
}

const ReplicaOptions &Replica::settings() const
{
    return this->options;
}

bool waitUntil(const std::function<bool()> &condition, Milliseconds timeout)
{
    const TimePoint until = Clock::now() + timeout;
    while (!condition()) {
        if (Clock::now() > until) {
            return false;
        }
        sleepFor(50ms);
    }
    return true;
}

void sleepFor(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace Review

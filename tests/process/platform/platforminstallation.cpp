#include "process/platform/platforminstallation.h"

#include "galenawell/core/endpoint.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <future>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Galenawell::Testing {

namespace {

using namespace std::chrono_literals;

constexpr unsigned short peerPort = 27740;
constexpr unsigned short controlPort = 28224;
constexpr unsigned short directoryPort = 28225;
constexpr unsigned short callerPort = 28226;
constexpr unsigned short readinessPort = 28227;
constexpr unsigned short metricsPort = 29464;

// Each process has its own part of the loopback range, since tests run in parallel.
std::string addressPrefix()
{
    const int process = ::getpid();
    return "127." + std::to_string(20 + process % 200) + "." + std::to_string(1 + process / 200 % 250) + ".";
}

std::string addressOf(const std::string &ip, unsigned short port)
{
    return ip + ":" + std::to_string(port);
}

} // namespace

KeptConnection::KeptConnection(const std::string &address, std::chrono::milliseconds connectTimeout)
{
    const std::size_t colon = address.rfind(':');
    const Tcp::endpoint endpoint(Asio::ip::make_address(address.substr(0, colon)),
                                 static_cast<unsigned short>(std::stoul(address.substr(colon + 1))));
    this->stream.expires_after(connectTimeout);
    // A failed connection shows as a call without a reply.
    this->stream.async_connect(endpoint, [](const Beast::error_code &) {});
    this->context.run();
    this->context.restart();
}

Reply KeptConnection::call(const Call &request)
{
    Reply reply;
    this->stream.expires_after(request.timeout);
    Asio::co_spawn(
        this->context,
        [&]() -> Asio::awaitable<void> {
            Http::request<Http::string_body> message{Http::verb::unknown, request.target, 11};
            message.method_string(request.method);
            for (const HttpHeader &header : request.headers) {
                message.insert(header.name, header.value);
            }
            message.body() = request.body;
            message.prepare_payload();
            auto [writeError, written] = co_await Http::async_write(this->stream, message, awaitResult);
            Beast::flat_buffer buffer;
            Http::response<Http::string_body> response;
            auto [readError, read] = co_await Http::async_read(this->stream, buffer, response, awaitResult);
            if (!writeError && !readError) {
                reply = Reply{.status = response.result_int(), .headers = copyHeaders(response), .body = response.body()};
            }
        },
        Asio::detached);
    this->context.run();
    return reply;
}

Reply call(const Call &request)
{
    return KeptConnection(request.address, request.timeout).call(request);
}

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

// ---- Backend servers

ServerStandIn::ServerStandIn(std::string serviceName, std::string serverIdentity, std::string dataCentre)
    : service(std::move(serviceName))
    , name(std::move(serverIdentity))
    , zone(std::move(dataCentre))
{
    this->server = std::make_shared<HttpServer>(
        this->ioThread.context.get_executor(),
        HttpServerOptions{.address = anyPort()},
        [this](HttpRequest request) { return this->handle(std::move(request)); },
        [](RefusalReason, const std::string &) { return HttpResponse{.status = 400}; });
    this->server->start();
    this->address = addressOf("127.0.0.1", this->server->address().port());
    this->announcedAddress = this->address;
}

ServerStandIn::~ServerStandIn()
{
    this->server->stop();
}

std::string ServerStandIn::heartbeat(const std::string &state)
{
    const nlohmann::json document{{"service", this->service},
                                  {"address", this->announcedAddress},
                                  {"zone", this->zone},
                                  {"version", "v1"},
                                  {"slots", 1},
                                  {"state", state},
                                  {"warmup_remaining_ms", 0},
                                  {"sequence", ++this->sequence},
                                  {"born", 1000}};
    return document.dump();
}

std::string ServerStandIn::listenAddress() const
{
    return this->address;
}

void ServerStandIn::setAnnouncedAddress(const std::string &announced)
{
    this->announcedAddress = announced;
}

const std::string &ServerStandIn::identity() const
{
    return this->name;
}

std::size_t ServerStandIn::runs() const
{
    const std::lock_guard lock(this->mutex);
    std::size_t total = 0;
    for (const auto &[id, count] : this->runsById) {
        total += count;
    }
    return total;
}

std::size_t ServerStandIn::runsOf(const std::string &requestId) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->runsById.find(requestId);
    return found == this->runsById.end() ? 0 : found->second;
}

void ServerStandIn::setServiceTime(std::chrono::milliseconds duration)
{
    this->serviceTimeMilliseconds = duration.count();
}

void ServerStandIn::setStatus(unsigned status)
{
    this->answerStatus = status;
}

void ServerStandIn::setAnswerBytes(std::size_t size)
{
    this->answerBytes = size;
}

std::size_t ServerStandIn::abandoned() const
{
    return this->abandonedCount;
}

void ServerStandIn::setLeaving()
{
    this->isLeaving = true;
}

void ServerStandIn::refuseWithPause(const std::string &seconds)
{
    const std::lock_guard lock(this->mutex);
    this->pauseSeconds = seconds;
}

void ServerStandIn::setLimit(const std::string &requestsPerSecond)
{
    const std::lock_guard lock(this->mutex);
    this->limit = requestsPerSecond;
}

std::vector<std::chrono::steady_clock::time_point> ServerStandIn::arrivalTimes() const
{
    const std::lock_guard lock(this->mutex);
    return this->arrivedAt;
}

std::size_t ServerStandIn::arrivals() const
{
    return this->arrivalCount;
}

Asio::awaitable<HttpResponse> ServerStandIn::handle(HttpRequest request)
{
    ++this->arrivalCount;
    if (request.header("Expected-Instance") != this->name) {
        co_return HttpResponse{.status = 421,
                               .headers = {{"Attempt-Id", std::string(request.header("Attempt-Id"))}, {"Not-Executed", "1"}}};
    }
    const std::string id(request.header("Attempt-Id"));
    std::string statedLimit;
    {
        const std::lock_guard lock(this->mutex);
        this->arrivedAt.push_back(std::chrono::steady_clock::now());
        statedLimit = this->limit;
        if (!this->pauseSeconds.empty()) {
            co_return HttpResponse{.status = 503,
                                   .headers = {{"Attempt-Id", id}, {"Not-Executed", "1"}, {"Retry-After", this->pauseSeconds}}};
        }
        ++this->runsById[id];
    }
    if (const std::chrono::milliseconds serviceTime(this->serviceTimeMilliseconds); serviceTime.count() > 0) {
        Asio::steady_timer timer(co_await Asio::this_coro::executor, serviceTime);
        request.caller->onClose([&] {
            ++this->abandonedCount;
            timer.cancel();
        });
        co_await timer.async_wait(awaitResult);
        request.caller->onClose(nullptr);
    }
    HttpResponse response{.status = this->answerStatus,
                          .contentType = "application/octet-stream",
                          .body = this->name + std::string(16 - this->name.size() % 16, '.')};
    response.body.resize(std::max<std::size_t>(response.body.size(), this->answerBytes), '.');
    response.headers = {{"Attempt-Id", id}, {"Server-Stamp", this->name + "." + id}, {"Server-Load", "0,0,1"}};
    if (this->isLeaving) {
        response.headers.push_back({"Server-Leaving", "1"});
    }
    if (!statedLimit.empty()) {
        response.headers.push_back({"Server-Limit", statedLimit});
    }
    co_return response;
}

EndlessServer::EndlessServer(std::string replyHead)
    : head(std::move(replyHead))
{
    Asio::co_spawn(
        this->ioThread.context, [this] { return this->acceptLoop(); }, Asio::detached);
}

EndlessServer::~EndlessServer()
{
    this->ioThread.stop();
}

std::string EndlessServer::address() const
{
    return toString(this->acceptor.local_endpoint());
}

std::size_t EndlessServer::accepted() const
{
    return this->acceptedCount;
}

Asio::awaitable<void> EndlessServer::acceptLoop()
{
    for (;;) {
        auto [error, socket] = co_await this->acceptor.async_accept(awaitResult);
        if (error) {
            co_return;
        }
        ++this->acceptedCount;
        Asio::co_spawn(
            this->ioThread.context,
            [this, shared = std::make_shared<Tcp::socket>(std::move(socket))] { return this->serve(shared); },
            Asio::detached);
    }
}

Asio::awaitable<void> EndlessServer::serve(std::shared_ptr<Tcp::socket> socket)
{
    std::string request(1024, '\0');
    auto [readError, received] = co_await socket->async_read_some(Asio::buffer(request), awaitResult);
    auto [headError, headBytes] = co_await Asio::async_write(*socket, Asio::buffer(this->head), awaitResult);
    const std::string part(std::size_t(16) * 1024, 'x');
    bool open = !readError && !headError;
    while (open) {
        auto [error, sent] = co_await Asio::async_write(*socket, Asio::buffer(part), awaitResult);
        open = !error;
    }
}

CrashingServer::CrashingServer(OnCrash crashHandler)
    : onCrash(std::move(crashHandler))
{
    this->acceptor.close();
    this->start();
}

CrashingServer::~CrashingServer()
{
    this->ioThread.stop();
}

void CrashingServer::start()
{
    std::promise<void> listening;
    Asio::post(this->ioThread.context, [this, &listening] {
        this->acceptor = Tcp::acceptor(this->ioThread.context, this->endpoint);
        ++this->bornAt;
        this->isRunning = true;
        Asio::co_spawn(
            this->ioThread.context, [this] { return this->acceptLoop(); }, Asio::detached);
        listening.set_value();
    });
    listening.get_future().wait();
}

bool CrashingServer::running() const
{
    return this->isRunning;
}

std::string CrashingServer::address() const
{
    return toString(this->endpoint);
}

std::int64_t CrashingServer::born() const
{
    return this->bornAt;
}

Asio::awaitable<void> CrashingServer::acceptLoop()
{
    for (;;) {
        auto [error, socket] = co_await this->acceptor.async_accept(awaitResult);
        if (error) {
            co_return;
        }
        Asio::co_spawn(
            this->ioThread.context,
            [this, shared = std::make_shared<Tcp::socket>(std::move(socket))] { return this->serve(shared); },
            Asio::detached);
    }
}

Asio::awaitable<void> CrashingServer::serve(std::shared_ptr<Tcp::socket> socket)
{
    Beast::flat_buffer buffer;
    Http::request<Http::string_body> request;
    auto [error, received] = co_await Http::async_read(*socket, buffer, request, awaitResult);
    if (!error && this->isRunning.exchange(false)) {
        this->acceptor.close();
        this->onCrash(std::string(request["Attempt-Id"]));
    }
}

// ---- Processes

PlatformInstallation::PlatformInstallation(std::size_t controlCount, std::size_t frontCount)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "galenawell-platform-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    for (std::size_t index = 1; index <= controlCount; ++index) {
        this->nodes.push_back({.name = "control" + std::to_string(index), .ip = addressPrefix() + std::to_string(index), .front = false});
    }
    for (std::size_t index = 1; index <= frontCount; ++index) {
        this->nodes.push_back(
            {.name = "front" + std::to_string(index), .ip = addressPrefix() + std::to_string(100 + index), .front = true});
    }
}

PlatformInstallation::~PlatformInstallation()
{
    for (const Node &node : this->nodes) {
        if (node.process != 0) {
            this->stop(node.name, SIGKILL);
        }
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

const PlatformInstallation::Node &PlatformInstallation::findNode(const std::string &name) const
{
    return *std::ranges::find(this->nodes, name, &Node::name);
}

std::vector<std::string> PlatformInstallation::nodeNames(bool front) const
{
    std::vector<std::string> names;
    for (const Node &node : this->nodes) {
        if (node.front == front) {
            names.push_back(node.name);
        }
    }
    return names;
}

std::vector<std::string> PlatformInstallation::controlNames() const
{
    return this->nodeNames(false);
}

std::vector<std::string> PlatformInstallation::frontNames() const
{
    return this->nodeNames(true);
}

std::string PlatformInstallation::controlAddress(const std::string &name) const
{
    return addressOf(this->findNode(name).ip, controlPort);
}

std::string PlatformInstallation::directoryAddress(const std::string &name) const
{
    return addressOf(this->findNode(name).ip, directoryPort);
}

std::string PlatformInstallation::callerAddress(const std::string &name) const
{
    return addressOf(this->findNode(name).ip, callerPort);
}

std::string PlatformInstallation::readinessAddress(const std::string &name) const
{
    return addressOf(this->findNode(name).ip, readinessPort);
}

std::string PlatformInstallation::metricsAddress(const std::string &name) const
{
    return addressOf(this->findNode(name).ip, metricsPort);
}

std::string PlatformInstallation::peerAddress(const std::string &name) const
{
    return addressOf(this->findNode(name).ip, peerPort);
}

std::string PlatformInstallation::ip(const std::string &name) const
{
    return this->findNode(name).ip;
}

pid_t PlatformInstallation::process(const std::string &name) const
{
    return this->findNode(name).process;
}

void PlatformInstallation::setSetting(const std::string &name, const nlohmann::json &value)
{
    this->extraSettings[name] = value;
}

void PlatformInstallation::setFoundInstallation(bool mayFound)
{
    this->foundInstallation = mayFound;
}

void PlatformInstallation::writeSettings(const Node &node) const
{
    nlohmann::json settings{{"instance", node.name},
                            {"role", node.front ? "front" : "control"},
                            {"dataCentre", "z" + node.name.substr(node.name.size() - 1)},
                            {"peerAddress", addressOf(node.ip, peerPort)},
                            {"metricsAddress", addressOf(node.ip, metricsPort)},
                            {"peerKey", "test"},
                            {"foundInstallation", this->foundInstallation},
                            {"heartbeatIntervalMs", 500}};
    for (int seed = 1; seed <= 3; ++seed) {
        settings["seeds"].push_back(addressOf(addressPrefix() + std::to_string(seed), controlPort));
    }
    if (node.front) {
        settings["callerAddress"] = addressOf(node.ip, callerPort);
        settings["readinessAddress"] = addressOf(node.ip, readinessPort);
    } else {
        settings["controlAddress"] = addressOf(node.ip, controlPort);
        settings["directoryAddress"] = addressOf(node.ip, directoryPort);
        settings["dataFolder"] = (this->folder / node.name).string();
    }
    settings.update(this->extraSettings);
    std::ofstream(this->folder / (node.name + ".json")) << settings.dump();
}

void PlatformInstallation::start(const std::string &name)
{
    Node &node = *std::ranges::find(this->nodes, name, &Node::name);
    this->writeSettings(node);
    const std::string program = std::string(std::getenv("GALENAWELL_BIN")) + "/galenawell-node";
    const std::string variable = "GALENAWELL_NODE_FILE=" + (this->folder / (name + ".json")).string();
    const std::string log = (this->folder / (name + ".log")).string();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<char *> arguments{const_cast<char *>(program.c_str()), nullptr};
    std::vector<char *> environment{const_cast<char *>(variable.c_str()), nullptr};
    posix_spawn(&node.process, program.c_str(), &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
}

void PlatformInstallation::startAll()
{
    for (const Node &node : this->nodes) {
        this->start(node.name);
    }
}

bool PlatformInstallation::stop(const std::string &name, int signal, std::chrono::milliseconds timeout)
{
    Node &node = *std::ranges::find(this->nodes, name, &Node::name);
    ::kill(node.process, signal);
    const bool ended = waitUntil([&node] { return ::waitpid(node.process, nullptr, WNOHANG) == node.process; }, timeout);
    if (ended) {
        node.process = 0;
    }
    return ended;
}

void PlatformInstallation::sendSignal(const std::string &name, int signal)
{
    ::kill(this->findNode(name).process, signal);
}

bool PlatformInstallation::hasUnexpectedExit() const
{
    return std::ranges::any_of(this->nodes, [](const Node &node) {
        siginfo_t information{};
        const auto process = static_cast<id_t>(node.process);
        return node.process != 0 && ::waitid(P_PID, process, &information, WEXITED | WNOHANG | WNOWAIT) == 0
            && information.si_pid == node.process;
    });
}

std::size_t PlatformInstallation::peakMemoryBytes(const std::string &name) const
{
    constexpr std::size_t kibibyte = 1024;
    std::ifstream status("/proc/" + std::to_string(this->findNode(name).process) + "/status");
    for (std::string key; status >> key;) {
        std::size_t kibibytes = 0;
        if (key == "VmHWM:" && status >> kibibytes) {
            return kibibytes * kibibyte;
        }
    }
    return 0;
}

void PlatformInstallation::deleteDataFolder(const std::string &name)
{
    std::filesystem::remove_all(this->folder / name);
}

Reply PlatformInstallation::putConfiguration(const std::string &control, const nlohmann::json &configuration) const
{
    return call({.address = this->controlAddress(control), .method = "PUT", .target = "/v1/configuration", .body = configuration.dump()});
}

bool PlatformInstallation::putUntilAcknowledged(const nlohmann::json &configuration) const
{
    return waitUntil([&] {
        const std::vector<std::string> names = this->controlNames();
        return std::ranges::any_of(names,
                                   [&](const std::string &name) { return this->putConfiguration(name, configuration).status == 200; });
    });
}

Reply PlatformInstallation::getConfiguration(const std::string &control) const
{
    return call({.address = this->controlAddress(control), .target = "/v1/configuration"});
}

bool PlatformInstallation::announce(ServerStandIn &server, const std::string &state) const
{
    return this->announce(server.identity(), server.heartbeat(state));
}

bool PlatformInstallation::announce(const std::string &identity, const std::string &heartbeat) const
{
    const std::vector<std::string> names = this->controlNames();
    return std::ranges::any_of(names, [&](const std::string &name) {
        return call({.address = this->controlAddress(name),
                     .method = "PUT",
                     .target = "/v1/instances/" + identity,
                     .body = heartbeat,
                     .timeout = 1000ms})
                   .status
            == 200;
    });
}

std::optional<double> PlatformInstallation::metric(const std::string &name, const std::string &metricName) const
{
    const Reply metrics = call({.address = this->metricsAddress(name), .target = "/metrics"});
    const std::size_t line = metrics.body.find("\n" + metricName + "{");
    const std::size_t value = metrics.body.find("} ", line);
    if (line == std::string::npos || value == std::string::npos) {
        return std::nullopt;
    }
    return std::strtod(metrics.body.c_str() + value + 1, nullptr);
}

std::string PlatformInstallation::leader() const
{
    for (const Node &node : this->nodes) {
        if (!node.front && node.process != 0 && this->metric(node.name, "galenawell_is_leader") == 1) {
            return node.name;
        }
    }
    return {};
}

} // namespace Galenawell::Testing

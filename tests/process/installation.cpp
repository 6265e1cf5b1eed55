#include "process/installation.h"

#include "galenawell/core/endpoint.h"
#include "galenawell/transport/asio.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Galenawell::Testing {

namespace {

constexpr std::chrono::milliseconds pollInterval{20};
constexpr std::chrono::milliseconds killTimeout{5000};
const std::string loopback = "127.0.0.1";

// Returns a port below the ephemeral range. An ephemeral port can be assigned to an outgoing connection between this check
// and the start of the process, which made installations fail to start when tests ran in parallel.
std::uint16_t freePort()
{
    // The measurement scripts use lower ports for the stand-in's replicas.
    constexpr std::uint16_t firstPort = 30'400;
    constexpr std::uint16_t portCount = 2'300;
    static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * 131U;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        Asio::io_context context;
        Tcp::acceptor acceptor(context);
        acceptor.open(Tcp::v4());
        Beast::error_code error;
        acceptor.bind(Tcp::endpoint(Asio::ip::make_address(loopback), port), error);
        if (!error) {
            return port;
        }
    }
}

std::string addressOf(std::uint16_t port)
{
    return loopback + ":" + std::to_string(port);
}

void writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::filesystem::create_directories(path.parent_path());
    std::ofstream(path) << text;
}

} // namespace

nlohmann::json HttpReply::json() const
{
    return nlohmann::json::parse(this->body, nullptr, false);
}

HttpReply httpCall(const HttpCall &call)
{
    HttpReply reply;
    const std::optional<Tcp::endpoint> endpoint = parseEndpoint(call.address);
    if (!endpoint) {
        return reply;
    }
    Asio::io_context context;
    Beast::tcp_stream stream(context);
    Asio::co_spawn(
        context,
        [&]() -> Asio::awaitable<void> {
            stream.expires_after(call.timeout);
            auto [connectError] = co_await stream.async_connect(*endpoint, awaitResult);
            if (connectError) {
                co_return;
            }
            Http::request<Http::string_body> request{Http::string_to_verb(call.method), call.target, 11};
            request.set(Http::field::host, call.address);
            request.set(Http::field::connection, "close");
            if (!call.token.empty()) {
                request.set(Http::field::authorization, "Bearer " + call.token);
            }
            request.body() = call.body;
            request.prepare_payload();
            auto [writeError, written] = co_await Http::async_write(stream, request, awaitResult);
            if (writeError) {
                co_return;
            }
            Beast::flat_buffer buffer;
            Http::response_parser<Http::string_body> parser;
            parser.body_limit(16 * 1024 * 1024);
            auto [readError, received] = co_await Http::async_read(stream, buffer, parser, awaitResult);
            if (!readError) {
                reply.status = parser.get().result_int();
                reply.body = parser.get().body();
            }
        },
        Asio::detached);
    context.run();
    return reply;
}

bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return condition();
}

nlohmann::json smallServices()
{
    return nlohmann::json::parse(R"([
        {"name": "drafting-desk", "kind": "sharded", "groups": 10, "replicas": 3, "firstPort": 0,
         "slots": 5, "queueLength": 64, "connections": 40, "connectDelayMs": 6, "startingMs": 0,
         "serviceTime": {"medianMs": 2, "sigma": 0.3}, "versions": [1], "epoch": 1, "keys": 1000},
        {"name": "archive-shelf", "kind": "pool", "replicas": 4, "firstPort": 0,
         "slots": 3, "connections": 100, "connectDelayMs": 1, "serviceTime": {"medianMs": 2, "sigma": 0.3}}
    ])");
}

nlohmann::json smallConfiguration()
{
    return nlohmann::json::parse(R"({
        "entry": {"keepMs": 1000},
        "services": {
            "drafting-desk": {"kind": "sharded", "defaultDeadlineMs": 5000, "subrequestTimeoutMs": 1000},
            "archive-shelf": {"kind": "pool", "defaultDeadlineMs": 10000}
        }
    })");
}

Installation::Installation(InstallationOptions installationOptions)
    : options(std::move(installationOptions))
    , standinPort(freePort())
    , operatorToken("operator-token-for-loopback-tests")
{
    for (std::size_t index = 0; index < this->options.fronts + this->options.controls; ++index) {
        const bool front = index < this->options.fronts;
        const std::size_t number = front ? index : index - this->options.fronts;
        Instance instance{.front = front, .peerPort = freePort(), .operatorPort = freePort()};
        instance.dataCentre = std::string(1, static_cast<char>('a' + number % this->options.dataCentres));
        if (front) {
            instance.callerPort = freePort();
            instance.backendPort = freePort();
        }
        this->instances[front ? frontName(number) : controlName(number)] = instance;
    }
    this->writeSettings();
    this->writeStandinFile();
}

Installation::~Installation()
{
    for (auto &[name, instance] : this->instances) {
        if (instance.processId != 0) {
            ::kill(instance.processId, SIGCONT);
            this->kill(name);
        }
    }
    if (this->standinProcess != 0) {
        ::kill(this->standinProcess, SIGKILL);
        ::waitpid(this->standinProcess, nullptr, 0);
    }
}

std::string Installation::frontName(std::size_t index)
{
    return "front-" + std::to_string(index + 1);
}

std::string Installation::controlName(std::size_t index)
{
    return "control-" + std::to_string(index + 1);
}

void Installation::writeSettings()
{
    nlohmann::json peers = nlohmann::json::array();
    for (const auto &[name, instance] : this->instances) {
        nlohmann::json peer{{"instance", name},
                            {"role", instance.front ? "front" : "control"},
                            {"dataCentre", instance.dataCentre},
                            {"peerAddress", addressOf(instance.peerPort)}};
        if (instance.front) {
            peer["callerAddress"] = addressOf(instance.callerPort);
        }
        peers.push_back(std::move(peer));
    }
    const nlohmann::json commonSettings{{"installation", "loopback"},
                                        {"peers", std::move(peers)},
                                        {"peerKey", "peer-key-for-loopback-tests-of-galenawell"},
                                        {"operatorToken", this->operatorToken},
                                        {"logLevel", this->options.logLevel}};
    for (const auto &[name, instance] : this->instances) {
        nlohmann::json ownSettings{{"instance", name},
                                   {"role", instance.front ? "front" : "control"},
                                   {"dataCentre", instance.dataCentre},
                                   {"peerAddress", addressOf(instance.peerPort)},
                                   {"operatorAddress", addressOf(instance.operatorPort)}};
        if (instance.front) {
            ownSettings["callerAddress"] = addressOf(instance.callerPort);
            ownSettings["backendAddress"] = addressOf(instance.backendPort);
        } else {
            ownSettings["dataFolder"] = std::filesystem::absolute(this->options.folder / "data" / name).string();
            ownSettings["bootstrap"] = true;
            std::filesystem::create_directories(this->options.folder / "data" / name);
        }
        const std::filesystem::path folder = this->options.folder / "settings" / name;
        writeFile(folder / "10-common.json", commonSettings.dump(2));
        writeFile(folder / "20-instance.json", ownSettings.dump(2));
    }
    writeFile(this->tokenFile(), this->operatorToken + "\n");
}

void Installation::writeStandinFile()
{
    nlohmann::json fronts = nlohmann::json::array();
    for (const auto &[name, instance] : this->instances) {
        if (instance.front) {
            fronts.push_back(addressOf(instance.backendPort));
        }
    }
    nlohmann::json dataCentres = nlohmann::json::array();
    for (std::size_t index = 0; index < this->options.dataCentres; ++index) {
        dataCentres.push_back(std::string(1, static_cast<char>('a' + index)));
    }
    const nlohmann::json document{{"ip", loopback},
                                  {"controlPort", this->standinPort},
                                  {"seed", 1},
                                  {"dataCentres", std::move(dataCentres)},
                                  {"fronts", std::move(fronts)},
                                  {"services", this->options.services}};
    writeFile(this->options.folder / "standin.json", document.dump(2));
}

int Installation::launch(const std::string &name, const std::vector<std::string> &arguments)
{
    const std::string logPath = (this->options.folder / (name + ".log")).string();
    const pid_t process = ::fork();
    if (process != 0) {
        return process;
    }
    // Kills the process if the test process is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    std::vector<char *> argv;
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    ::execv(argv.front(), argv.data());
    ::_exit(127);
}

void Installation::start(const std::string &instance)
{
    const std::string program = (this->options.programFolder / "galenawelld").string();
    const std::string folder = (this->options.folder / "settings" / instance).string();
    this->instances.at(instance).processId = this->launch(instance, {program, "--settings", folder});
}

void Installation::startStandin()
{
    const std::string program = (this->options.programFolder / "galenawell-standin").string();
    this->standinProcess = this->launch("standin", {program, "--settings", (this->options.folder / "standin.json").string()});
}

void Installation::startAll()
{
    for (const auto &[name, instance] : this->instances) {
        this->start(name);
    }
    this->startStandin();
}

void Installation::sendSignal(const std::string &instance, int signal)
{
    const int process = this->instances.at(instance).processId;
    if (process != 0) {
        ::kill(process, signal);
    }
}

int Installation::waitForExit(const std::string &instance, std::chrono::milliseconds timeout)
{
    int &process = this->instances.at(instance).processId;
    int status = 0;
    const bool ended = waitFor([&] { return ::waitpid(process, &status, WNOHANG) == process; }, timeout);
    if (!ended) {
        return -1;
    }
    process = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

void Installation::kill(const std::string &instance)
{
    this->sendSignal(instance, SIGKILL);
    this->waitForExit(instance, killTimeout);
}

void Installation::deleteDataFolder(const std::string &instance)
{
    std::filesystem::remove_all(this->options.folder / "data" / instance);
    std::filesystem::create_directories(this->options.folder / "data" / instance);
}

std::string Installation::callerAddress(const std::string &front) const
{
    return addressOf(this->instances.at(front).callerPort);
}

std::string Installation::operatorAddress(const std::string &instance) const
{
    return addressOf(this->instances.at(instance).operatorPort);
}

std::string Installation::backendAddress(const std::string &front) const
{
    return loopback + ":" + std::to_string(this->instances.at(front).backendPort);
}

int Installation::processId(const std::string &instance) const
{
    return this->instances.at(instance).processId;
}

std::string Installation::standinControlAddress() const
{
    return addressOf(this->standinPort);
}

std::string Installation::tokenFile() const
{
    return (this->options.folder / "operator-token").string();
}

const std::string &Installation::token() const
{
    return this->operatorToken;
}

HttpReply Installation::query(const std::string &front, const nlohmann::json &body, std::chrono::milliseconds timeout) const
{
    return httpCall(
        HttpCall{.address = this->callerAddress(front), .method = "POST", .target = "/v1/query", .body = body.dump(), .timeout = timeout});
}

HttpReply
Installation::admin(const std::string &front, const std::string &method, const std::string &path, const nlohmann::json &body) const
{
    return httpCall(HttpCall{.address = this->operatorAddress(front),
                             .method = method,
                             .target = path,
                             .body = body.is_null() ? std::string() : body.dump(),
                             .token = this->operatorToken,
                             .timeout = std::chrono::milliseconds(15000)});
}

HttpReply Installation::applyConfiguration(const std::string &front, std::uint64_t number, const nlohmann::json &content) const
{
    return this->admin(front, "POST", "/v1/admin/config", {{"number", number}, {"content", content}});
}

HttpReply Installation::standinControl(const std::string &action, const nlohmann::json &filter) const
{
    return httpCall(
        HttpCall{.address = this->standinControlAddress(), .method = "POST", .target = "/control/" + action, .body = filter.dump()});
}

double Installation::metric(const std::string &instance, const std::string &series) const
{
    const HttpReply reply = httpCall(HttpCall{.address = this->operatorAddress(instance), .target = "/metrics"});
    const std::size_t found = reply.body.find("\n" + series + " ");
    return found == std::string::npos ? 0 : std::strtod(reply.body.c_str() + found + series.size() + 2, nullptr);
}

std::string Installation::leader() const
{
    for (const auto &[name, instance] : this->instances) {
        if (instance.front && instance.processId != 0) {
            const nlohmann::json status = this->admin(name, "GET", "/v1/admin/status").json();
            if (status.is_object() && status.contains("leader") && !status.at("leader").get<std::string>().empty()) {
                return status.at("leader").get<std::string>();
            }
        }
    }
    return {};
}

bool Installation::waitUntilServing(const nlohmann::json &configuration, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const auto remaining
        = [&] { return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now()); };
    const std::string firstFront = frontName(0);
    if (!waitFor([&] { return this->applyConfiguration(firstFront, 1, configuration).status == 200; }, remaining())) {
        return false;
    }
    for (const auto &[name, instance] : this->instances) {
        const std::string front = name;
        const nlohmann::json probe{{"id", "probe-" + front}, {"service", "drafting-desk"}, {"body", {{"kind", "aggregate"}}}};
        if (instance.front && !waitFor([&] { return this->query(front, probe).status == 200; }, remaining())) {
            return false;
        }
    }
    return true;
}

} // namespace Galenawell::Testing

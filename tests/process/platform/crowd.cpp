#include "process/platform/crowd.h"

#include "galenawell/core/endpoint.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <linux/sockios.h>
#include <sstream>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Galenawell::Testing {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t partBytes = 64 * kibibyte;
constexpr int smallReceiveBuffer = 4096;
constexpr std::chrono::seconds settleTimeout{60};
// Without any progress for this long, nothing moves any more, with and without clients that still have something to send.
constexpr std::chrono::seconds settledAfter{1};
constexpr std::chrono::seconds stalledAfter{4};

// Resident and highest resident memory of a process.
std::pair<std::size_t, std::size_t> residentBytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::size_t highest = 0;
    std::size_t current = 0;
    for (std::string line; std::getline(status, line);) {
        std::istringstream fields(line);
        std::string key;
        std::size_t kibibytes = 0;
        fields >> key >> kibibytes;
        if (key == "VmHWM:") {
            highest = kibibytes * kibibyte;
        } else if (key == "VmRSS:") {
            current = kibibytes * kibibyte;
        }
    }
    return {current, highest};
}

// Sum of the receive queues of all connections at the IP number, listening sockets excluded.
std::size_t unreadBytes(const std::string &ip)
{
    in_addr address{};
    inet_pton(AF_INET, ip.c_str(), &address);
    std::array<char, 16> expected{};
    std::snprintf(expected.data(), expected.size(), "%08X:", address.s_addr);
    std::ifstream table("/proc/net/tcp");
    std::size_t total = 0;
    for (std::string line; std::getline(table, line);) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> slot >> local >> remote >> state >> queues;
        constexpr const char *listening = "0A";
        if (local.starts_with(expected.data()) && state != listening) {
            total += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
    }
    return total;
}

void raiseTo(std::atomic<std::size_t> &peak, std::size_t value)
{
    peak = std::max<std::size_t>(peak, value);
}

} // namespace

struct Crowd::Client
{
    explicit Client(const Asio::any_io_executor &executor)
        : socket(executor)
    {
    }

    Tcp::socket socket;
    // For the thread that waits; the socket isn't closed before leave().
    std::atomic<int> descriptor{-1};
};

Crowd::Crowd(CrowdOptions crowdOptions)
    : options(std::move(crowdOptions))
{
    for (std::size_t index = 0; index < this->options.clients; ++index) {
        this->clients.push_back(std::make_shared<Client>(this->ioThread.context.get_executor()));
        Asio::co_spawn(
            this->ioThread.context, [this, client = this->clients.back()] { return this->run(client); }, Asio::detached);
    }
}

Crowd::~Crowd()
{
    this->ioThread.stop();
}

Asio::awaitable<void> Crowd::run(std::shared_ptr<Client> client)
{
    client->socket.open(Tcp::v4());
    client->descriptor = client->socket.native_handle();
    if (!this->options.reads) {
        client->socket.set_option(Asio::socket_base::receive_buffer_size(smallReceiveBuffer));
    }
    auto [connectError] = co_await client->socket.async_connect(*parseEndpoint(this->options.address), awaitResult);
    if (!connectError && this->options.reads) {
        Asio::co_spawn(
            this->ioThread.context, [client] { return readAnswers(client); }, Asio::detached);
    }
    bool open = !connectError;
    std::size_t sent = 0;
    while (open && sent < this->options.bytes.size()) {
        const std::size_t size = std::min(partBytes, this->options.bytes.size() - sent);
        auto [error, written]
            = co_await client->socket.async_write_some(Asio::buffer(this->options.bytes.data() + sent, size), awaitResult);
        sent += written;
        this->bytesSent += written;
        open = !error;
    }
    ++this->finished;
}

Asio::awaitable<void> Crowd::readAnswers(std::shared_ptr<Client> client)
{
    std::string part(partBytes, '\0');
    for (;;) {
        auto [error, received] = co_await client->socket.async_read_some(Asio::buffer(part), awaitResult);
        if (error) {
            co_return;
        }
    }
}

Crowd::Progress Crowd::progress() const
{
    Progress current{this->bytesSent, 0, 0, unreadBytes(this->options.address.substr(0, this->options.address.find(':')))};
    for (const std::shared_ptr<Client> &client : this->clients) {
        int unsent = 0;
        int unread = 0;
        const int descriptor = client->descriptor;
        if (descriptor >= 0 && ioctl(descriptor, SIOCOUTQ, &unsent) == 0 && ioctl(descriptor, FIONREAD, &unread) == 0) {
            current[1] += static_cast<std::size_t>(unsent);
            current[2] += static_cast<std::size_t>(unread);
        }
    }
    return current;
}

void Crowd::waitUntilSettled() const
{
    const auto end = std::chrono::steady_clock::now() + settleTimeout;
    auto changedAt = std::chrono::steady_clock::now();
    Progress last{};
    for (auto now = changedAt; now < end; now = std::chrono::steady_clock::now()) {
        if (const Progress current = this->progress(); current != last) {
            last = current;
            changedAt = now;
        }
        if (now - changedAt > (this->finished == this->clients.size() ? settledAfter : stalledAfter)) {
            return;
        }
        std::this_thread::sleep_for(20ms);
    }
}

void Crowd::leave()
{
    std::promise<void> closed;
    Asio::post(this->ioThread.context, [this, &closed] {
        for (const std::shared_ptr<Client> &client : this->clients) {
            Beast::error_code ignored;
            client->socket.close(ignored);
        }
        closed.set_value();
    });
    closed.get_future().wait();
}

ProcessWatch::ProcessWatch(pid_t watchedProcess, std::string processIp)
    : process(watchedProcess)
    , ip(std::move(processIp))
    , sampler([this](const std::stop_token &stop) { this->run(stop); })
{
}

void ProcessWatch::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const auto [current, highest] = residentBytes(this->process);
        raiseTo(this->memoryPeak, std::max(highest, current + unreadBytes(this->ip)));
        raiseTo(this->descriptorPeak, this->descriptors());
        std::this_thread::sleep_for(10ms);
    }
}

ProcessPeaks ProcessWatch::peaks() const
{
    return {.memoryBytes = this->memoryPeak, .descriptors = this->descriptorPeak};
}

std::size_t ProcessWatch::descriptors() const
{
    std::error_code error;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator entry("/proc/" + std::to_string(this->process) + "/fd", error), end; !error && entry != end;
         entry.increment(error)) {
        ++count;
    }
    return count;
}

std::string chunkedHead(const std::string &method, const std::string &target, const std::string &headers)
{
    return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd\r\nTime-Remaining: 4000\r\n" + headers
        + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string unendedChunks(std::size_t size, std::size_t chunkBytes)
{
    std::ostringstream text;
    while (size > 0) {
        const std::size_t chunk = std::min(size, chunkBytes);
        text << std::hex << chunk << "\r\n" << std::string(chunk, 'x') << "\r\n";
        size -= chunk;
    }
    return text.str();
}

} // namespace Galenawell::Testing

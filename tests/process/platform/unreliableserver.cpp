#include "process/platform/unreliableserver.h"

#include "galenawell/core/endpoint.h"

#include <nlohmann/json.hpp>

namespace Galenawell::Testing {

namespace {

using namespace std::chrono_literals;

// Percent of the requests, runs, replies and copies.
constexpr std::size_t rejectionShare = 15;
constexpr std::size_t delayShare = 10;
constexpr std::size_t lostShare = 1;
constexpr std::size_t cutShare = 1;
constexpr std::size_t copyShare = 30;
constexpr std::size_t oddCopyShare = 30;
constexpr std::size_t splitShare = 50;
constexpr auto delay = 30ms;
constexpr auto pieceDelay = 3ms;

std::string encodeReply(const std::string &status, const std::string &requestId, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + requestId + "\r\nServer-Load: 0,0,8\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

void RunBook::addRun(const std::string &requestId)
{
    const std::lock_guard lock(this->mutex);
    ++this->records[requestId].runs;
}

void RunBook::addReply(const std::string &requestId)
{
    const std::lock_guard lock(this->mutex);
    this->records[requestId].replied = true;
}

RunRecord RunBook::find(const std::string &requestId) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->records.find(requestId);
    return found == this->records.end() ? RunRecord{} : found->second;
}

struct UnreliableServer::Connection
{
    explicit Connection(Tcp::socket connected)
        : socket(std::move(connected))
    {
    }

    Tcp::socket socket;
    Beast::flat_buffer buffer;
    // Of the last reply; sent again ahead of the next one.
    std::string copy;
};

UnreliableServer::UnreliableServer(std::string serverIdentity, RunBook &runBook)
    : name(std::move(serverIdentity))
    , book(runBook)
{
    Asio::co_spawn(
        this->ioThread.context, [this] { return this->acceptLoop(); }, Asio::detached);
}

UnreliableServer::~UnreliableServer()
{
    this->ioThread.stop();
}

const std::string &UnreliableServer::identity() const
{
    return this->name;
}

std::string UnreliableServer::heartbeat()
{
    const nlohmann::json document{{"service", "archive"},
                                  {"address", toString(this->acceptor.local_endpoint())},
                                  {"zone", "z1"},
                                  {"version", "v1"},
                                  {"slots", 8},
                                  {"state", "ready"},
                                  {"warmup_remaining_ms", 0},
                                  {"sequence", ++this->sequence},
                                  {"born", 1000}};
    return document.dump();
}

void UnreliableServer::seed(std::uint64_t number)
{
    Asio::post(this->ioThread.context, [this, number] { this->random = RandomSource(number); });
}

bool UnreliableServer::happens(std::size_t percent)
{
    return this->random.below(100) < percent;
}

Asio::awaitable<void> UnreliableServer::wait(std::chrono::milliseconds time)
{
    Asio::steady_timer timer(this->ioThread.context, time);
    co_await timer.async_wait(awaitResult);
}

Asio::awaitable<bool> UnreliableServer::send(std::shared_ptr<Connection> connection, std::string text)
{
    const std::size_t split = this->happens(splitShare) ? text.size() / 2 : text.size();
    auto [error, sent] = co_await Asio::async_write(connection->socket, Asio::buffer(text.data(), split), awaitResult);
    if (error || split == text.size()) {
        co_return !error;
    }
    co_await this->wait(pieceDelay);
    auto [restError, rest]
        = co_await Asio::async_write(connection->socket, Asio::buffer(text.data() + split, text.size() - split), awaitResult);
    co_return !restError;
}

Asio::awaitable<void> UnreliableServer::acceptLoop()
{
    for (;;) {
        auto [error, socket] = co_await this->acceptor.async_accept(awaitResult);
        if (error) {
            co_return;
        }
        Asio::co_spawn(
            this->ioThread.context,
            [this, connection = std::make_shared<Connection>(std::move(socket))] { return this->serve(connection); },
            Asio::detached);
    }
}

Asio::awaitable<void> UnreliableServer::serve(std::shared_ptr<Connection> connection)
{
    bool open = true;
    while (open) {
        Http::request<Http::string_body> request;
        auto [error, received] = co_await Http::async_read(connection->socket, connection->buffer, request, awaitResult);
        if (error) {
            co_return;
        }
        const std::string requestId(request["Attempt-Id"]);
        open = co_await this->sendCopy(connection);
        if (open && request["Expected-Instance"] != this->name) {
            open = co_await this->send(connection, encodeReply("421 Misdirected", requestId, "Not-Executed: 1\r\n", ""));
        } else if (open) {
            open = co_await this->sendReply(connection, requestId);
        }
        // An idle connection may get the copy at any time.
        if (open && this->happens(oddCopyShare)) {
            co_await this->wait(pieceDelay);
            open = co_await this->sendCopy(connection);
        }
    }
}

Asio::awaitable<bool> UnreliableServer::sendCopy(std::shared_ptr<Connection> connection)
{
    std::string copies = std::exchange(connection->copy, std::string());
    if (copies.empty()) {
        co_return true;
    }
    if (this->happens(oddCopyShare)) {
        copies += copies;
    }
    if (this->happens(oddCopyShare)) {
        copies.insert(0, "HTTP/1.1 102 Processing\r\n\r\n");
    }
    if (this->happens(oddCopyShare)) {
        copies.insert(copies.find("Server-Load"), "Connection: close\r\n");
    }
    co_return co_await this->send(connection, copies);
}

Asio::awaitable<bool> UnreliableServer::sendReply(std::shared_ptr<Connection> connection, std::string requestId)
{
    if (this->happens(rejectionShare)) {
        const std::string status = this->happens(splitShare) ? "503 Busy" : "429 Busy";
        const std::string rejection = encodeReply(status, requestId, "Not-Executed: 1\r\n", "");
        connection->copy = this->happens(copyShare) ? rejection : "";
        co_return co_await this->send(connection, rejection);
    }
    this->book.addRun(requestId);
    if (this->happens(delayShare)) {
        co_await this->wait(delay);
    }
    const std::string reply = encodeReply("200 OK", requestId, "Server-Stamp: " + this->name + "." + requestId + "\r\n", requestId);
    if (this->happens(lostShare)) {
        co_return false;
    }
    if (this->happens(cutShare)) {
        co_await this->send(connection, reply.substr(0, reply.size() - 1));
        co_return false;
    }
    if (!co_await this->send(connection, reply)) {
        co_return false;
    }
    this->book.addReply(requestId);
    connection->copy = this->happens(copyShare) ? reply : "";
    co_return true;
}

} // namespace Galenawell::Testing

#include "soak/faultproxy.h"

#include <array>

namespace Galenawell::Testing {

namespace {

constexpr std::chrono::milliseconds chunkDelay{40};

} // namespace

struct FaultProxy::ConnectionPair
{
    ConnectionPair(Tcp::socket accepted, const Asio::any_io_executor &executor)
        : caller(std::move(accepted))
        , server(executor)
    {
    }

    Tcp::socket caller;
    Tcp::socket server;
    bool dropsRequests = false;
    bool dropsReplies = false;
};

FaultProxy::FaultProxy(Tcp::endpoint targetAddress)
    : target(std::move(targetAddress))
    , acceptor(this->ioThread.context, anyPort())
{
    Asio::co_spawn(
        this->ioThread.context, [this] { return this->acceptLoop(); }, Asio::detached);
}

FaultProxy::~FaultProxy()
{
    this->ioThread.context.stop();
}

std::string FaultProxy::address() const
{
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

void FaultProxy::apply(ProxyFault fault)
{
    this->delays = fault == ProxyFault::Delay;
    Asio::post(this->ioThread.context, [this, fault] {
        for (const std::weak_ptr<ConnectionPair> &weak : this->connectionPairs) {
            if (const std::shared_ptr<ConnectionPair> connections = weak.lock()) {
                connections->dropsRequests = connections->dropsRequests || fault == ProxyFault::DropAll;
                connections->dropsReplies = connections->dropsReplies || fault == ProxyFault::DropAll || fault == ProxyFault::DropReplies;
            }
        }
    });
}

void FaultProxy::resetConnections()
{
    Asio::post(this->ioThread.context, [this] {
        for (const std::weak_ptr<ConnectionPair> &weak : this->connectionPairs) {
            if (const std::shared_ptr<ConnectionPair> connections = weak.lock()) {
                Beast::error_code ignored;
                connections->caller.set_option(Asio::socket_base::linger(true, 0), ignored);
                connections->caller.close(ignored);
                connections->server.close(ignored);
            }
        }
        this->connectionPairs.clear();
    });
}

Asio::awaitable<void> FaultProxy::acceptLoop()
{
    for (;;) {
        auto [error, socket] = co_await this->acceptor.async_accept(awaitResult);
        if (error) {
            co_return;
        }
        auto connections = std::make_shared<ConnectionPair>(std::move(socket), this->ioThread.context.get_executor());
        std::erase_if(this->connectionPairs, [](const std::weak_ptr<ConnectionPair> &weak) { return weak.expired(); });
        this->connectionPairs.push_back(connections);
        Asio::co_spawn(
            this->ioThread.context, [this, connections] { return this->connect(connections); }, Asio::detached);
    }
}

Asio::awaitable<void> FaultProxy::connect(std::shared_ptr<ConnectionPair> connections)
{
    auto [error] = co_await connections->server.async_connect(this->target, awaitResult);
    if (error) {
        Beast::error_code ignored;
        connections->caller.close(ignored);
        co_return;
    }
    Asio::co_spawn(
        this->ioThread.context, [this, connections] { return this->copy(connections, true); }, Asio::detached);
    co_await this->copy(connections, false);
}

Asio::awaitable<void> FaultProxy::copy(std::shared_ptr<ConnectionPair> connections, bool replies)
{
    Tcp::socket &from = replies ? connections->server : connections->caller;
    Tcp::socket &to = replies ? connections->caller : connections->server;
    std::array<char, 4096> chunk{};
    for (;;) {
        auto [readError, received] = co_await from.async_read_some(Asio::buffer(chunk), awaitResult);
        if (readError) {
            break;
        }
        if (this->delays) {
            Asio::steady_timer timer(this->ioThread.context, chunkDelay);
            co_await timer.async_wait(awaitResult);
        }
        if (replies ? connections->dropsReplies : connections->dropsRequests) {
            continue;
        }
        auto [writeError, written] = co_await Asio::async_write(to, Asio::buffer(chunk.data(), received), awaitResult);
        if (writeError) {
            break;
        }
    }
    Beast::error_code ignored;
    from.close(ignored);
    to.close(ignored);
}

} // namespace Galenawell::Testing

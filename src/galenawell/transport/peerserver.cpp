#include "galenawell/transport/peerlink.h"

#include <algorithm>
#include <deque>

namespace Galenawell {

namespace {

constexpr std::chrono::milliseconds handshakeTimeout{2000};
// Peers send a heartbeat at least every second; a connection without any is closed.
constexpr std::chrono::seconds idleTimeout{30};
// Handshakes may take 1/n of the connections, so that silent connections don't keep peers out.
constexpr std::size_t handshakeShareDivisor = 8;
// A handshake takes a few round trips; one that lasts longer is closed when a newer connection needs its place.
constexpr std::chrono::milliseconds handshakePatience{500};
constexpr std::chrono::milliseconds acceptRetryDelay{20};

} // namespace

struct PeerServer::Session
{
    explicit Session(Tcp::socket socket)
        : channel(std::move(socket))
    {
    }

    PeerChannel channel;
    const std::chrono::steady_clock::time_point openedAt = std::chrono::steady_clock::now();
    InstanceName peer;
    std::deque<Wire::Envelope> queue;
    bool writing = false;
    bool closed = false;
};

PeerServer::PeerServer(Asio::any_io_executor ioExecutor,
                       Tcp::endpoint listenAddress,
                       PeerIdentity ownIdentity,
                       Handler callHandler,
                       std::shared_ptr<PeerTraffic> sharedTraffic,
                       PeerServerOptions serverOptions)
    : executor(std::move(ioExecutor))
    , address(std::move(listenAddress))
    , identity(std::move(ownIdentity))
    , handler(std::move(callHandler))
    , traffic(std::move(sharedTraffic))
    , options(serverOptions)
    , acceptor(Asio::make_strand(this->executor))
{
}

void PeerServer::start()
{
    this->acceptor.open(this->address.protocol());
    this->acceptor.set_option(Asio::socket_base::reuse_address(true));
    this->acceptor.bind(this->address);
    this->acceptor.listen();
    Asio::co_spawn(
        this->acceptor.get_executor(), [self = this->shared_from_this()] { return self->acceptLoop(); }, Asio::detached);
}

void PeerServer::stop()
{
    Asio::post(this->acceptor.get_executor(), [self = this->shared_from_this()] {
        Beast::error_code ignored;
        self->acceptor.close(ignored);
    });
}

Asio::awaitable<void> PeerServer::acceptLoop()
{
    Asio::steady_timer pause(this->acceptor.get_executor());
    for (;;) {
        // Connections that there is no room for wait unaccepted, without a descriptor.
        if (!this->hasRoom()) {
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(awaitResult);
            if (!this->acceptor.is_open()) {
                co_return;
            }
            continue;
        }
        auto [error, socket] = co_await this->acceptor.async_accept(Asio::make_strand(this->executor), awaitResult);
        if (error == Asio::error::operation_aborted || !this->acceptor.is_open()) {
            co_return;
        }
        if (error) {
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(awaitResult);
            continue;
        }
        const Asio::any_io_executor strand = socket.get_executor();
        auto session = std::make_shared<Session>(std::move(socket));
        ++this->openConnections;
        {
            const std::lock_guard lock(this->handshakesMutex);
            this->handshakes.push_back(session);
        }
        Asio::co_spawn(
            strand, [self = this->shared_from_this(), session] { return self->serve(session); }, Asio::detached);
    }
}

bool PeerServer::hasRoom()
{
    const std::lock_guard lock(this->handshakesMutex);
    const std::size_t maximumHandshakes = std::max<std::size_t>(this->options.maximumConnections / handshakeShareDivisor, 1);
    const bool full = this->openConnections >= this->options.maximumConnections;
    if (!full && this->handshakes.size() < maximumHandshakes) {
        return true;
    }
    if (!this->handshakes.empty() && std::chrono::steady_clock::now() - this->handshakes.front()->openedAt >= handshakePatience) {
        const std::shared_ptr<Session> oldest = this->handshakes.front();
        this->handshakes.pop_front();
        Asio::post(oldest->channel.rawStream().get_executor(), [oldest] { oldest->channel.close(); });
    }
    return false;
}

Asio::awaitable<void> PeerServer::serve(std::shared_ptr<Session> session)
{
    const Asio::any_io_executor strand = session->channel.rawStream().get_executor();
    session->channel.rawStream().expires_after(handshakeTimeout);
    Result<InstanceName> name = co_await session->channel.acceptAs(this->identity);
    {
        const std::lock_guard lock(this->handshakesMutex);
        this->handshakes.remove(session);
    }
    if (name) {
        session->peer = name.value();
    }
    while (name && !session->closed) {
        session->channel.rawStream().expires_after(idleTimeout);
        Result<Wire::Envelope> request = co_await session->channel.read();
        if (!request) {
            break;
        }
        Asio::co_spawn(
            strand,
            [self = this->shared_from_this(), session, sharedRequest = std::make_shared<Wire::Envelope>(std::move(request.value()))] {
                return self->handleCall(session, std::move(*sharedRequest));
            },
            Asio::detached);
    }
    session->closed = true;
    session->channel.close();
    --this->openConnections;
}

Asio::awaitable<void> PeerServer::handleCall(std::shared_ptr<Session> session, Wire::Envelope request)
{
    const std::int64_t correlation = request.correlation;
    Wire::Envelope reply = co_await this->handler(session->peer, std::move(request));
    reply.correlation = correlation;
    reply.reply = true;
    session->queue.push_back(std::move(reply));
    if (session->writing || session->closed) {
        co_return;
    }
    // Only one coroutine writes at a time; the others only queue their replies.
    session->writing = true;
    while (!session->queue.empty() && !session->closed) {
        const Wire::Envelope next = std::move(session->queue.front());
        session->queue.pop_front();
        const std::uint64_t before = session->channel.bytesSent();
        Status status = co_await session->channel.write(next);
        ++this->traffic->messages;
        this->traffic->bytes += session->channel.bytesSent() - before;
        if (!status) {
            session->closed = true;
            session->channel.close();
        }
    }
    session->writing = false;
}

} // namespace Galenawell

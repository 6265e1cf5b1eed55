#include "galenawell/transport/peerlink.h"

#include <deque>

namespace Galenawell {

namespace {

constexpr std::size_t maximumQueuedMessages = 1024;

} // namespace

struct PeerLink::PendingCall
{
    explicit PendingCall(const Asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    Asio::steady_timer timer;
    std::optional<Result<Wire::Envelope>> result;
};

struct PeerLink::Session
{
    Session(Tcp::socket socket, const Asio::any_io_executor &executor)
        : channel(std::move(socket))
        , wakeWriter(executor)
    {
    }

    PeerChannel channel;
    // Written in order by writeLoop().
    std::deque<Wire::Envelope> queue;
    Asio::steady_timer wakeWriter;
    std::map<std::int64_t, std::shared_ptr<PendingCall>> pendingCalls;
    bool closed = false;
};

PeerLink::PeerLink(Asio::any_io_executor executor,
                   Tcp::endpoint peerAddress,
                   PeerIdentity ownIdentity,
                   InstanceName peerName,
                   std::shared_ptr<PeerTraffic> sharedTraffic,
                   PeerLinkOptions linkOptions)
    : strand(Asio::make_strand(executor))
    , address(std::move(peerAddress))
    , identity(std::move(ownIdentity))
    , peer(std::move(peerName))
    , traffic(std::move(sharedTraffic))
    , options(linkOptions)
{
    // Only the named peer is accepted at this address.
    this->identity.accepted = {this->peer};
    this->identity.acceptAny = false;
}

const InstanceName &PeerLink::peerInstance() const
{
    return this->peer;
}

Asio::awaitable<Result<Wire::Envelope>> PeerLink::call(Wire::Envelope request, std::chrono::milliseconds timeout)
{
    const auto body = [&] { return this->callOnStrand(std::move(request), timeout); };
    co_return co_await runOn(this->strand, body);
}

void PeerLink::close()
{
    Asio::post(this->strand, [self = this->shared_from_this()] {
        if (self->currentSession != nullptr) {
            self->failSession(self->currentSession, makeError(ErrorKind::Cancelled, "the process is shutting down"));
        }
    });
}

Asio::awaitable<Result<Wire::Envelope>> PeerLink::callOnStrand(Wire::Envelope request, std::chrono::milliseconds timeout)
{
    const auto self = this->shared_from_this();
    const auto expiry = std::chrono::steady_clock::now() + timeout;
    if (Status status = co_await this->ensureSession(); !status) {
        co_return status.error();
    }
    const std::shared_ptr<Session> session = this->currentSession;
    if (session == nullptr || session->queue.size() >= maximumQueuedMessages) {
        co_return makeError(ErrorKind::ConnectionFailed, "the connection to " + this->peer + " is closed or its queue is full");
    }
    request.correlation = this->nextCorrelation++;
    request.reply = false;
    const std::int64_t correlation = request.correlation;
    auto pendingCall = std::make_shared<PendingCall>(this->strand);
    pendingCall->timer.expires_at(expiry);
    session->pendingCalls.emplace(correlation, pendingCall);
    session->queue.push_back(std::move(request));
    session->wakeWriter.cancel();
    co_await pendingCall->timer.async_wait(awaitResult);
    session->pendingCalls.erase(correlation);
    if (pendingCall->result) {
        co_return std::move(*pendingCall->result);
    }
    // The connection may be dead, so the next call opens a new one.
    this->failSession(session, makeError(ErrorKind::ConnectionLost, "a call to " + this->peer + " timed out"));
    co_return makeError(ErrorKind::DeadlineExceeded, "peer " + this->peer + " didn't reply in time");
}

Asio::awaitable<Status> PeerLink::ensureSession()
{
    while (this->connecting) {
        Asio::steady_timer pause(this->strand, std::chrono::milliseconds(5));
        co_await pause.async_wait(awaitResult);
    }
    if (this->currentSession != nullptr && !this->currentSession->closed) {
        co_return boost::outcome_v2::success();
    }
    if (std::chrono::steady_clock::now() < this->nextAttempt) {
        co_return makeError(ErrorKind::ConnectionFailed, "peer " + this->peer + " is unreachable; the next connection attempt is delayed");
    }
    this->connecting = true;
    Beast::tcp_stream stream(this->strand);
    stream.expires_after(this->options.connectTimeout);
    auto [error] = co_await stream.async_connect(this->address, awaitResult);
    Status status = boost::outcome_v2::success();
    if (error) {
        status = makeError(ErrorKind::ConnectionFailed, "connecting to " + this->peer + " failed: " + error.message());
    } else {
        auto session = std::make_shared<Session>(stream.release_socket(), this->strand);
        session->channel.rawStream().expires_after(this->options.connectTimeout);
        Result<InstanceName> name = co_await session->channel.connectAs(this->identity);
        if (name) {
            session->channel.rawStream().expires_never();
            this->currentSession = session;
            Asio::co_spawn(
                this->strand, [self = this->shared_from_this(), session] { return self->readLoop(session); }, Asio::detached);
            Asio::co_spawn(
                this->strand, [self = this->shared_from_this(), session] { return self->writeLoop(session); }, Asio::detached);
        } else {
            status = makeError(ErrorKind::ConnectionFailed, name.error().detail);
        }
    }
    if (!status) {
        this->nextAttempt = std::chrono::steady_clock::now() + this->options.reconnectPause;
    }
    this->connecting = false;
    co_return status;
}

Asio::awaitable<void> PeerLink::readLoop(std::shared_ptr<Session> session)
{
    while (!session->closed) {
        Result<Wire::Envelope> envelope = co_await session->channel.read();
        if (!envelope) {
            this->failSession(session, envelope.error());
            co_return;
        }
        const auto found = session->pendingCalls.find(envelope.value().correlation);
        if (found == session->pendingCalls.end()) {
            // The call has timed out.
            continue;
        }
        found->second->result = std::move(envelope);
        found->second->timer.cancel();
    }
}

Asio::awaitable<void> PeerLink::writeLoop(std::shared_ptr<Session> session)
{
    while (!session->closed) {
        if (session->queue.empty()) {
            session->wakeWriter.expires_at(std::chrono::steady_clock::time_point::max());
            co_await session->wakeWriter.async_wait(awaitResult);
            continue;
        }
        const Wire::Envelope envelope = std::move(session->queue.front());
        session->queue.pop_front();
        const std::uint64_t before = session->channel.bytesSent();
        Status status = co_await session->channel.write(envelope);
        ++this->traffic->messages;
        this->traffic->bytes += session->channel.bytesSent() - before;
        if (!status) {
            this->failSession(session, status.error());
            co_return;
        }
    }
}

void PeerLink::failSession(const std::shared_ptr<Session> &session, const Error &error)
{
    if (session->closed) {
        return;
    }
    session->closed = true;
    session->channel.close();
    session->wakeWriter.cancel();
    for (auto &[correlation, pendingCall] : session->pendingCalls) {
        if (!pendingCall->result) {
            pendingCall->result = Result<Wire::Envelope>(makeError(ErrorKind::ConnectionLost, error.detail));
        }
        pendingCall->timer.cancel();
    }
    if (this->currentSession == session) {
        this->currentSession = nullptr;
    }
}

} // namespace Galenawell

#include "galenawell/transport/peerlink.h"

#include <deque>

namespace Galenawell {

namespace {

constexpr std::size_t maximumQueuedMessages = 1024;

} // namespace

struct PeerLink::Waiting
{
    explicit Waiting(const Asio::any_io_executor &executor)
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
    // Frames are written one after another by writeLoop.
    std::deque<Wire::Envelope> queue;
    Asio::steady_timer wakeWriter;
    std::map<std::int64_t, std::shared_ptr<Waiting>> waiting;
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
    // The link goes to one named peer; nobody else may answer at its address.
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
        if (self->current != nullptr) {
            self->fail(self->current, makeError(ErrorKind::Cancelled, "the process ends"));
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
    const std::shared_ptr<Session> session = this->current;
    if (session == nullptr || session->queue.size() >= maximumQueuedMessages) {
        co_return makeError(ErrorKind::ConnectionFailed, "the link to " + this->peer + " is congested");
    }
    request.correlation = this->nextCorrelation++;
    request.reply = false;
    const std::int64_t correlation = request.correlation;
    auto waiting = std::make_shared<Waiting>(this->strand);
    waiting->timer.expires_at(expiry);
    session->waiting.emplace(correlation, waiting);
    session->queue.push_back(std::move(request));
    session->wakeWriter.cancel();
    co_await waiting->timer.async_wait(awaitResult);
    session->waiting.erase(correlation);
    if (waiting->result) {
        co_return std::move(*waiting->result);
    }
    // The connection may have gone silent for good, so the next call opens a new one.
    this->fail(session, makeError(ErrorKind::ConnectionLost, "the link to " + this->peer + " made no progress"));
    co_return makeError(ErrorKind::DeadlineExceeded, "peer " + this->peer + " didn't answer in time");
}

Asio::awaitable<Status> PeerLink::ensureSession()
{
    while (this->connecting) {
        Asio::steady_timer pause(this->strand, std::chrono::milliseconds(5));
        co_await pause.async_wait(awaitResult);
    }
    if (this->current != nullptr && !this->current->closed) {
        co_return boost::outcome_v2::success();
    }
    if (std::chrono::steady_clock::now() < this->nextAttempt) {
        co_return makeError(ErrorKind::ConnectionFailed, "peer " + this->peer + " was unreachable a moment ago");
    }
    this->connecting = true;
    Beast::tcp_stream stream(this->strand);
    stream.expires_after(this->options.connectTimeout);
    auto [error] = co_await stream.async_connect(this->address, awaitResult);
    Status status = boost::outcome_v2::success();
    if (error) {
        status = makeError(ErrorKind::ConnectionFailed, "peer " + this->peer + " refused the connection: " + error.message());
    } else {
        auto session = std::make_shared<Session>(stream.release_socket(), this->strand);
        session->channel.rawStream().expires_after(this->options.connectTimeout);
        Result<InstanceName> name = co_await session->channel.connectAs(this->identity);
        if (name) {
            session->channel.rawStream().expires_never();
            this->current = session;
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
            this->fail(session, envelope.error());
            co_return;
        }
        const auto found = session->waiting.find(envelope.value().correlation);
        if (found == session->waiting.end()) {
            // Its call has timed out.
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
            this->fail(session, status.error());
            co_return;
        }
    }
}

void PeerLink::fail(const std::shared_ptr<Session> &session, const Error &error)
{
    if (session->closed) {
        return;
    }
    session->closed = true;
    session->channel.close();
    session->wakeWriter.cancel();
    for (auto &[correlation, waiting] : session->waiting) {
        if (!waiting->result) {
            waiting->result = Result<Wire::Envelope>(makeError(ErrorKind::ConnectionLost, error.detail));
        }
        waiting->timer.cancel();
    }
    if (this->current == session) {
        this->current = nullptr;
    }
}

} // namespace Galenawell

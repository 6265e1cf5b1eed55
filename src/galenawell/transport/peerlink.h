// Authenticated connections between galenawell's own processes. Every message is a call with a reply and a time limit, so
// a connection that went silent is noticed and replaced.
#pragma once

#include "galenawell/core/error.h"
#include "galenawell/core/identifiers.h"
#include "galenawell/transport/asio.h"

#include "peer_types.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Galenawell {

// Versions of the peer protocol that this build speaks. Adjacent versions work together.
inline constexpr std::int32_t lowestPeerVersion = 1;
inline constexpr std::int32_t highestPeerVersion = 1;

struct PeerIdentity
{
    InstanceName instance;
    // Shared by all processes of an installation.
    std::string key;
    // Instances that are accepted as the other end.
    std::set<InstanceName> accepted;
    // Accepts every instance that proves the key, for installations whose processes come and go.
    bool acceptAny = false;
};

// Frames of one authenticated connection: length, HMAC, payload. Detects change, replay and reordering.
class PeerChannel
{
public:
    explicit PeerChannel(Tcp::socket socket);

    // Both return the other end's instance name.
    Asio::awaitable<Result<InstanceName>> connectAs(const PeerIdentity &identity);
    Asio::awaitable<Result<InstanceName>> acceptAs(const PeerIdentity &identity);

    Asio::awaitable<Status> write(const Wire::Envelope &envelope);
    Asio::awaitable<Result<Wire::Envelope>> read();

    void close();
    Beast::tcp_stream &rawStream();
    // Bytes of frames, both directions.
    std::uint64_t bytesSent() const;

private:
    Asio::awaitable<Status> writeFrame(std::string_view payload);
    Asio::awaitable<Result<std::string>> readFrame();
    std::string tagFor(std::string_view payload, char direction, std::uint64_t counter) const;

    Beast::tcp_stream stream;
    // Empty until the handshake ends; frames carry no tag before.
    std::string sessionKey;
    char sendDirection = 'c';
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t sentBytes = 0;
};

// Traffic of all peer links of a process.
struct PeerTraffic
{
    std::atomic<std::uint64_t> messages{0};
    std::atomic<std::uint64_t> bytes{0};
};

// One outgoing connection to a peer, made again when it fails.
struct PeerLinkOptions
{
    // Of one connection attempt. An instance without power doesn't refuse, so this is also how long its return can go
    // unnoticed.
    std::chrono::milliseconds connectTimeout{1000};
    // Pause after a failed attempt, so that a dead peer costs little.
    std::chrono::milliseconds reconnectPause{200};
};

class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(Asio::any_io_executor executor,
             Tcp::endpoint address,
             PeerIdentity identity,
             InstanceName peer,
             std::shared_ptr<PeerTraffic> traffic,
             PeerLinkOptions options = {});

    // ConnectionFailed: nothing was delivered. ConnectionLost or DeadlineExceeded: the peer may have handled the call.
    Asio::awaitable<Result<Wire::Envelope>> call(Wire::Envelope request, std::chrono::milliseconds timeout);

    const InstanceName &peerInstance() const;
    void close();

private:
    struct Waiting;
    struct Session;

    Asio::awaitable<Result<Wire::Envelope>> callOnStrand(Wire::Envelope request, std::chrono::milliseconds timeout);
    Asio::awaitable<Status> ensureSession();
    Asio::awaitable<void> readLoop(std::shared_ptr<Session> session);
    Asio::awaitable<void> writeLoop(std::shared_ptr<Session> session);
    void fail(const std::shared_ptr<Session> &session, const Error &error);

    Asio::strand<Asio::any_io_executor> strand;
    Tcp::endpoint address;
    PeerIdentity identity;
    InstanceName peer;
    std::shared_ptr<PeerTraffic> traffic;
    PeerLinkOptions options;
    std::shared_ptr<Session> current;
    std::int64_t nextCorrelation = 1;
    // Calls wait for the connection attempt that is under way instead of starting another.
    bool connecting = false;
    std::chrono::steady_clock::time_point nextAttempt;
};

// Accepts connections of configured peers and answers their calls.
class PeerServer : public std::enable_shared_from_this<PeerServer>
{
public:
    // The reply's correlation is filled in by the server.
    using Handler = std::function<Asio::awaitable<Wire::Envelope>(InstanceName peer, Wire::Envelope request)>;

    PeerServer(Asio::any_io_executor executor,
               Tcp::endpoint address,
               PeerIdentity identity,
               Handler handler,
               std::shared_ptr<PeerTraffic> traffic);

    void start();
    void stop();

private:
    struct Session;

    Asio::awaitable<void> acceptLoop();
    Asio::awaitable<void> serve(Tcp::socket socket);
    Asio::awaitable<void> answer(std::shared_ptr<Session> session, Wire::Envelope request);

    Asio::any_io_executor executor;
    Tcp::endpoint address;
    PeerIdentity identity;
    Handler handler;
    std::shared_ptr<PeerTraffic> traffic;
    Tcp::acceptor acceptor;
    std::atomic<std::size_t> open{0};
};

} // namespace Galenawell

// Authenticated connections between galenawell processes. Every message is a call with a reply and a timeout, so a
// stalled connection is detected and replaced.
#pragma once

#include "galenawell/core/error.h"
#include "galenawell/core/identifiers.h"
#include "galenawell/transport/asio.h"

#include "peer_types.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace Galenawell {

// Versions of the peer protocol that this build supports. Adjacent versions interoperate.
inline constexpr std::int32_t lowestPeerVersion = 1;
inline constexpr std::int32_t highestPeerVersion = 1;

struct PeerIdentity
{
    InstanceName instance;
    // Shared by all processes of an installation.
    std::string key;
    // Instances accepted as the other end.
    std::set<InstanceName> accepted;
    // Accepts every instance that proves the key, for installations with a changing set of processes.
    bool acceptAny = false;
};

// Frames of one authenticated connection: length, HMAC, payload. Detects changed, replayed and reordered frames.
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
    // Bytes of all frames written.
    std::uint64_t bytesSent() const;

private:
    Asio::awaitable<Status> writeFrame(std::string_view payload);
    Asio::awaitable<Result<std::string>> readFrame();
    std::string computeTag(std::string_view payload, char direction, std::uint64_t counter) const;

    Beast::tcp_stream stream;
    // Empty until the handshake ends; earlier frames carry no tag.
    std::string sessionKey;
    char sendDirection = 'c';
    std::uint64_t sentFrames = 0;
    std::uint64_t receivedFrames = 0;
    std::uint64_t sentBytes = 0;
};

// Messages and bytes sent to all peers of a process.
struct PeerTraffic
{
    std::atomic<std::uint64_t> messages{0};
    std::atomic<std::uint64_t> bytes{0};
};

struct PeerLinkOptions
{
    // Of one connection attempt. A host without power doesn't refuse connections, so its return may also go unnoticed for
    // this long.
    std::chrono::milliseconds connectTimeout{1000};
    // Delay after a failed attempt, which limits the attempts on an unreachable peer.
    std::chrono::milliseconds reconnectPause{200};
};

// One outgoing connection to a peer, reopened after a failure.
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
    struct PendingCall;
    struct Session;

    Asio::awaitable<Result<Wire::Envelope>> callOnStrand(Wire::Envelope request, std::chrono::milliseconds timeout);
    Asio::awaitable<Status> ensureSession();
    Asio::awaitable<void> readLoop(std::shared_ptr<Session> session);
    Asio::awaitable<void> writeLoop(std::shared_ptr<Session> session);
    void failSession(const std::shared_ptr<Session> &session, const Error &error);

    Asio::strand<Asio::any_io_executor> strand;
    Tcp::endpoint address;
    PeerIdentity identity;
    InstanceName peer;
    std::shared_ptr<PeerTraffic> traffic;
    PeerLinkOptions options;
    std::shared_ptr<Session> currentSession;
    std::int64_t nextCorrelation = 1;
    // Calls wait for the pending connection attempt instead of starting another.
    bool connecting = false;
    std::chrono::steady_clock::time_point nextAttempt;
};

struct PeerServerOptions
{
    // Above the number of processes that connect to one control process, and below its file descriptors.
    std::size_t maximumConnections = 1536;
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
               std::shared_ptr<PeerTraffic> traffic,
               PeerServerOptions options = {});

    void start();
    void stop();

private:
    struct Session;

    Asio::awaitable<void> acceptLoop();
    // False if another connection has to end first. Closes one that hasn't proved the peer key for a while.
    bool hasRoom();
    Asio::awaitable<void> serve(std::shared_ptr<Session> session);
    Asio::awaitable<void> handleCall(std::shared_ptr<Session> session, Wire::Envelope request);

    Asio::any_io_executor executor;
    Tcp::endpoint address;
    PeerIdentity identity;
    Handler handler;
    std::shared_ptr<PeerTraffic> traffic;
    PeerServerOptions options;
    Tcp::acceptor acceptor;
    std::atomic<std::size_t> openConnections{0};
    std::mutex handshakesMutex;
    // Connections that haven't proved the peer key yet, oldest first.
    std::list<std::shared_ptr<Session>> handshakes;
};

} // namespace Galenawell

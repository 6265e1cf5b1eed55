#include "galenawell/core/clock.h"
#include "galenawell/core/thriftcodec.h"
#include "galenawell/transport/peerlink.h"
#include "loopback.h"

#include <criterion/criterion.h>
#include <criterion/logging.h>
#include <thread>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

const PeerIdentity clientIdentity{.instance = "client", .key = "key", .accepted = {"server"}};
const PeerIdentity serverIdentity{.instance = "server", .key = "key", .accepted = {"client"}};

Wire::Envelope envelope(std::int64_t correlation)
{
    Wire::Envelope value;
    value.correlation = correlation;
    value.reply = false;
    return value;
}

// Result on the accepting side: the error of the handshake or of the first invalid frame, and the frames before it.
struct Received
{
    std::optional<ErrorKind> error;
    std::vector<std::int64_t> correlations;
};

Asio::awaitable<Received> receive(Tcp::socket socket, PeerIdentity identity)
{
    Received received;
    PeerChannel channel(std::move(socket));
    Result<InstanceName> name = co_await channel.acceptAs(identity);
    if (!name) {
        received.error = name.error().kind;
        co_return received;
    }
    while (!received.error) {
        Result<Wire::Envelope> next = co_await channel.read();
        if (next) {
            received.correlations.push_back(next.value().correlation);
        } else {
            received.error = next.error().kind;
        }
    }
    co_return received;
}

Asio::awaitable<std::optional<ErrorKind>> sendTwo(Tcp::socket socket, PeerIdentity identity)
{
    PeerChannel channel(std::move(socket));
    Result<InstanceName> name = co_await channel.connectAs(identity);
    if (!name) {
        co_return name.error().kind;
    }
    for (const std::int64_t correlation : {1, 2}) {
        const Wire::Envelope message = envelope(correlation);
        Status status = co_await channel.write(message);
        if (!status) {
            co_return status.error().kind;
        }
    }
    co_return std::nullopt;
}

std::string readFrame(Tcp::socket &socket)
{
    std::string frame(4, '\0');
    Beast::error_code error;
    Asio::read(socket, Asio::buffer(frame), error);
    if (error) {
        return {};
    }
    const std::size_t length = static_cast<unsigned char>(frame[0]) + 256U * static_cast<unsigned char>(frame[1]);
    frame.resize(4 + length);
    Asio::read(socket, Asio::buffer(frame.data() + 4, length), error);
    return frame;
}

// Forwards the client's frames through `change`; its frames 0 and 1 and one frame of the server are the handshake.
Received receiveThrough(const std::function<std::string(unsigned, const std::string &)> &change)
{
    IoThread ioThread;
    Asio::io_context blocking;
    Tcp::acceptor proxyAcceptor(blocking, anyPort());
    Tcp::acceptor serverAcceptor(ioThread.context, anyPort());
    Tcp::socket clientSocket(ioThread.context);
    clientSocket.connect(proxyAcceptor.local_endpoint());
    Tcp::socket towardsClient = proxyAcceptor.accept();
    Tcp::socket towardsServer(blocking);
    towardsServer.connect(serverAcceptor.local_endpoint());
    std::future<Received> received = ioThread.start(receive(serverAcceptor.accept(), serverIdentity));
    std::future<std::optional<ErrorKind>> sent = ioThread.start(sendTwo(std::move(clientSocket), clientIdentity));
    Beast::error_code ignored;
    for (unsigned number = 0; number < 4; ++number) {
        const std::string frame = change(number, readFrame(towardsClient));
        Asio::write(towardsServer, Asio::buffer(frame), ignored);
        if (number == 0) {
            const std::string hello = readFrame(towardsServer);
            Asio::write(towardsClient, Asio::buffer(hello), ignored);
        }
    }
    towardsServer.shutdown(Tcp::socket::shutdown_send, ignored);
    return received.get();
}

struct Outcome
{
    std::optional<ErrorKind> client;
    Received server;
};

Outcome connect(const PeerIdentity &client, const PeerIdentity &server)
{
    IoThread ioThread;
    Tcp::acceptor acceptor(ioThread.context, anyPort());
    Tcp::socket socket(ioThread.context);
    socket.connect(acceptor.local_endpoint());
    std::future<Received> received = ioThread.start(receive(acceptor.accept(), server));
    std::future<std::optional<ErrorKind>> sent = ioThread.start(sendTwo(std::move(socket), client));
    return Outcome{.client = sent.get(), .server = received.get()};
}

struct CallOutcome
{
    std::optional<ErrorKind> error;
    Wire::Envelope reply;
};

Asio::awaitable<CallOutcome> callOnce(std::shared_ptr<PeerLink> link, std::chrono::milliseconds timeout)
{
    CallOutcome outcome;
    Wire::Envelope request = envelope(0);
    Result<Wire::Envelope> reply = co_await link->call(std::move(request), timeout);
    if (reply) {
        outcome.reply = reply.value();
    } else {
        outcome.error = reply.error().kind;
    }
    co_return outcome;
}

// Accepts two connections: never replies on the first, and replies to one call on the second.
Asio::awaitable<std::int64_t> answerSecondConnection(Tcp::acceptor &acceptor)
{
    Tcp::socket firstSocket = co_await acceptor.async_accept(Asio::use_awaitable);
    PeerChannel silent(std::move(firstSocket));
    co_await silent.acceptAs(serverIdentity);
    Tcp::socket secondSocket = co_await acceptor.async_accept(Asio::use_awaitable);
    PeerChannel working(std::move(secondSocket));
    co_await working.acceptAs(serverIdentity);
    Result<Wire::Envelope> request = co_await working.read();
    Wire::Envelope reply = request.value();
    reply.reply = true;
    co_await working.write(reply);
    co_return reply.correlation;
}

} // namespace

// Guards against the tests below passing because no frame is delivered at all.
Test(peer_channel, unchanged_frames_arrive_in_order)
{
    const Received received = receiveThrough([](unsigned, const std::string &frame) { return frame; });
    cr_assert(received.correlations == (std::vector<std::int64_t>{1, 2}));
    cr_assert(received.error == ErrorKind::ConnectionLost);
}

// Guards against accepting a peer without the key, at either end.
Test(peer_channel, a_wrong_key_is_refused_by_both_ends)
{
    PeerIdentity wrongKeyIdentity = clientIdentity;
    wrongKeyIdentity.key = "another";
    const Outcome outcome = connect(wrongKeyIdentity, serverIdentity);
    cr_assert(outcome.client == ErrorKind::Unauthenticated);
    cr_assert(outcome.server.error.has_value() && outcome.server.correlations.empty());
}

// Guards against accepting an instance that has the key but isn't in the settings of the other end.
Test(peer_channel, an_unknown_instance_is_refused)
{
    PeerIdentity unknown = clientIdentity;
    unknown.instance = "unknown";
    cr_assert(connect(unknown, serverIdentity).server.error == ErrorKind::Unauthenticated);
    PeerIdentity elsewhere = serverIdentity;
    elsewhere.instance = "elsewhere";
    cr_assert(connect(clientIdentity, elsewhere).client == ErrorKind::Unauthenticated);
}

// Guards against accepting a frame in which any byte after the length was changed.
Test(peer_channel, a_changed_byte_is_refused)
{
    for (const std::size_t position : {4U, 19U, 20U}) {
        const Received received = receiveThrough([position](unsigned number, std::string frame) {
            if (number == 2) {
                frame[position] = static_cast<char>(frame[position] ^ 1);
            }
            return frame;
        });
        cr_assert(received.error == ErrorKind::Unauthenticated && received.correlations.empty());
    }
}

// Guards against handling a call twice because its frame was replayed.
Test(peer_channel, a_replayed_frame_is_refused)
{
    const Received received = receiveThrough([](unsigned number, const std::string &frame) { return number == 2 ? frame + frame : frame; });
    cr_assert(received.error == ErrorKind::Unauthenticated);
    cr_assert(received.correlations == std::vector<std::int64_t>{1});
}

// Guards against allocating the announced length of a frame, before and after the handshake, and against sending such a frame.
Test(peer_channel, a_frame_above_the_limit_is_refused)
{
    const std::string justAbove{'\x01', '\x00', '\x40', '\x00'};
    const std::string handshakeAbove{'\x01', '\x04', '\x00', '\x00'};
    const Received afterHandshake
        = receiveThrough([&](unsigned number, const std::string &frame) { return number == 2 ? justAbove : frame; });
    cr_assert(afterHandshake.error == ErrorKind::FrameTooLarge);
    IoThread ioThread;
    Tcp::acceptor acceptor(ioThread.context, anyPort());
    Tcp::socket socket(ioThread.context);
    socket.connect(acceptor.local_endpoint());
    std::future<Received> duringHandshake = ioThread.start(receive(acceptor.accept(), serverIdentity));
    Asio::write(socket, Asio::buffer(handshakeAbove));
    cr_assert(duringHandshake.get().error == ErrorKind::FrameTooLarge);
}

// Guards against a link that keeps using a stalled connection.
Test(peer_link, a_silent_peer_leads_to_deadline_exceeded_and_a_new_connection)
{
    IoThread ioThread;
    Tcp::acceptor acceptor(ioThread.context, anyPort());
    std::future<std::int64_t> server = ioThread.start(answerSecondConnection(acceptor));
    const auto link = std::make_shared<PeerLink>(
        ioThread.context.get_executor(), acceptor.local_endpoint(), clientIdentity, "server", std::make_shared<PeerTraffic>());
    cr_assert(ioThread.start(callOnce(link, 50ms)).get().error == ErrorKind::DeadlineExceeded);
    const CallOutcome second = ioThread.start(callOnce(link, 30s)).get();
    cr_assert(!second.error && second.reply.reply);
    cr_assert_eq(second.reply.correlation, server.get());
}

namespace {

Asio::awaitable<Wire::Envelope> echo(InstanceName, Wire::Envelope request)
{
    co_return request;
}

} // namespace

// Guards against fronts of a large fleet that no control process accepts because of the number of the others.
Test(peer_server, hundreds_of_peers_are_served_at_once)
{
    constexpr std::size_t peers = 300;
    IoThread ioThread;
    Tcp::acceptor reserved(ioThread.context, anyPort());
    const Tcp::endpoint address = reserved.local_endpoint();
    reserved.close();
    const auto server
        = std::make_shared<PeerServer>(ioThread.context.get_executor(), address, serverIdentity, echo, std::make_shared<PeerTraffic>());
    server->start();
    std::vector<std::shared_ptr<PeerLink>> links;
    for (std::size_t peer = 0; peer < peers; ++peer) {
        links.push_back(std::make_shared<PeerLink>(
            ioThread.context.get_executor(), address, clientIdentity, "server", std::make_shared<PeerTraffic>()));
        // A link connects again after a failed attempt; a peer above the limit isn't served by any.
        const TimePoint end = MonotonicClock::now() + 10s;
        CallOutcome outcome = ioThread.start(callOnce(links.back(), 3s)).get();
        while (outcome.error && MonotonicClock::now() < end) {
            cr_log_warn("peer %zu: attempt failed with error kind %d", peer, static_cast<int>(*outcome.error));
            std::this_thread::sleep_for(50ms);
            outcome = ioThread.start(callOnce(links.back(), 3s)).get();
        }
        cr_assert(!outcome.error, "peer %zu", peer);
    }
    server->stop();
}

#include "galenawell/core/endpoint.h"
#include "galenawell/transport/backendclient.h"
#include "loopback.h"

#include <criterion/criterion.h>
#include <thread>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr auto longEnough = 30s;
const std::string keepAliveReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A client, and the listening socket of the server that it is to use.
struct Pair
{
    std::future<ExchangeResult> exchange(Duration limit = longEnough, bool fresh = false)
    {
        ExchangeRequest request{.address = toString(this->acceptor.local_endpoint()),
                                .target = "/",
                                .body = "question",
                                .expiry = MonotonicClock::now() + limit};
        request.freshConnection = fresh;
        return this->loop.start(this->client.exchange(std::move(request), this->handle));
    }

    PlainSocket accept()
    {
        return PlainSocket(this->acceptor.accept());
    }

    Asio::io_context context;
    Tcp::acceptor acceptor{this->context, anyPort()};
    std::shared_ptr<ExchangeHandle> handle = std::make_shared<ExchangeHandle>();
    IoThread loop;
    BackendClient client{this->loop.context.get_executor()};
};

} // namespace

// Guards against a refused connection that counts as a request which may have run.
Test(backend_client, a_refused_connection_is_not_sent)
{
    Pair pair;
    const std::string address = toString(pair.acceptor.local_endpoint());
    pair.acceptor.close();
    ExchangeRequest request{.address = address, .target = "/", .expiry = MonotonicClock::now() + longEnough};
    const ExchangeResult result = pair.loop.start(pair.client.exchange(std::move(request), pair.handle)).get();
    cr_assert(result.status == ExchangeStatus::NotSent);
}

// Guards against a request that may have run and is taken for one that didn't.
Test(backend_client, a_connection_closed_after_the_request_is_lost)
{
    Pair pair;
    std::future<ExchangeResult> result = pair.exchange();
    {
        PlainSocket server = pair.accept();
        server.readUntil("question");
    }
    cr_assert(result.get().status == ExchangeStatus::Lost);
    cr_assert_eq(pair.client.idleConnections(), 0);
}

// Guards against a server that is blamed on its connection, and against the reuse of a connection that owes a reply.
Test(backend_client, no_reply_is_timed_out)
{
    Pair pair;
    std::future<ExchangeResult> result = pair.exchange(50ms);
    PlainSocket server = pair.accept();
    const ExchangeResult exchange = result.get();
    cr_assert(exchange.status == ExchangeStatus::TimedOut);
    cr_assert(!exchange.connectionAtFault);
    cr_assert_eq(pair.client.idleConnections(), 0);
}

// Guards against a late reply to a cancelled request that is read as the reply to the next one.
Test(backend_client, the_connection_of_a_cancelled_exchange_is_not_used_again)
{
    Pair pair;
    std::future<ExchangeResult> result = pair.exchange();
    PlainSocket first = pair.accept();
    first.readUntil("question");
    pair.handle->cancel();
    cr_assert(result.get().status == ExchangeStatus::Cancelled);
    cr_assert(first.readAll().empty());
    // The client replaces the closed connection at once; the next exchange takes the replacement.
    PlainSocket second = pair.accept();
    while (pair.client.idleConnections() == 0) {
        std::this_thread::sleep_for(1ms);
    }
    pair.handle = std::make_shared<ExchangeHandle>();
    std::future<ExchangeResult> next = pair.exchange();
    second.readUntil("question");
    second.send(keepAliveReply);
    cr_assert(next.get().status == ExchangeStatus::Completed);
}

// Guards against a working server that is ejected because one old connection to it went silent.
Test(backend_client, a_silent_connection_beside_a_newer_working_one_is_at_fault)
{
    Pair pair;
    std::future<ExchangeResult> silent = pair.exchange(2s);
    PlainSocket first = pair.accept();
    first.readUntil("question");
    pair.handle = std::make_shared<ExchangeHandle>();
    std::future<ExchangeResult> working = pair.exchange(longEnough, true);
    PlainSocket second = pair.accept();
    second.send(keepAliveReply);
    cr_assert(working.get().status == ExchangeStatus::Completed);
    const ExchangeResult exchange = silent.get();
    cr_assert(exchange.status == ExchangeStatus::TimedOut);
    cr_assert(exchange.connectionAtFault);
}

// Guards against a request on a connection that the server closed while it was idle.
Test(backend_client, a_stale_idle_connection_is_not_used)
{
    Pair pair;
    std::future<ExchangeResult> first = pair.exchange();
    {
        PlainSocket server = pair.accept();
        server.readUntil("question");
        server.send(keepAliveReply);
        cr_assert(first.get().status == ExchangeStatus::Completed);
        cr_assert_eq(pair.client.idleConnections(), 1);
    }
    std::future<ExchangeResult> second = pair.exchange();
    PlainSocket server = pair.accept();
    server.readUntil("question");
    server.send(keepAliveReply);
    cr_assert(second.get().status == ExchangeStatus::Completed);
}

// Guards against idle connections that fill a server's places although the front hardly uses them.
Test(backend_client, idle_connections_beyond_the_lasting_ones_are_closed_after_a_while)
{
    Pair pair;
    std::vector<PlainSocket> servers;
    std::vector<std::future<ExchangeResult>> results;
    for (int index = 0; index < 3; ++index) {
        ExchangeRequest request{.address = toString(pair.acceptor.local_endpoint()),
                                .target = "/",
                                .body = "question",
                                .expiry = MonotonicClock::now() + longEnough,
                                .minimumIdle = 1,
                                .surplusIdleTimeout = 1s};
        results.push_back(pair.loop.start(pair.client.exchange(std::move(request), std::make_shared<ExchangeHandle>())));
        servers.push_back(pair.accept());
        servers.back().readUntil("question");
    }
    for (std::size_t index = 0; index < servers.size(); ++index) {
        servers[index].send(keepAliveReply);
        cr_assert(results[index].get().status == ExchangeStatus::Completed);
    }
    pair.client.closeIdle(MonotonicClock::now());
    cr_assert_eq(pair.client.idleConnections(), 3);
    pair.client.closeIdle(MonotonicClock::now() + 2s);
    cr_assert_eq(pair.client.idleConnections(), 1);
    pair.client.closeIdle(MonotonicClock::now() + 1min);
    cr_assert_eq(pair.client.idleConnections(), 0);
}

// Guards against connections to servers that left, which stay open until the process ends.
Test(backend_client, connections_to_servers_that_left_are_closed)
{
    Pair pair;
    std::future<ExchangeResult> result = pair.exchange();
    PlainSocket server = pair.accept();
    server.readUntil("question");
    server.send(keepAliveReply);
    cr_assert(result.get().status == ExchangeStatus::Completed);
    pair.client.retain({toString(pair.acceptor.local_endpoint())});
    cr_assert_eq(pair.client.idleConnections(), 1);
    pair.client.retain({"10.0.0.1:1"});
    cr_assert_eq(pair.client.idleConnections(), 0);
}

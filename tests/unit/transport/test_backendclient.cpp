#include "galenawell/core/endpoint.h"
#include "galenawell/transport/backendclient.h"
#include "loopback.h"

#include <criterion/criterion.h>
#include <thread>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr auto generousTimeout = 30s;
const std::string keepAliveReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A client and the listening socket of its server.
struct ClientFixture
{
    std::future<ExchangeResult> exchange(Duration limit = generousTimeout, bool fresh = false)
    {
        ExchangeRequest request{.address = toString(this->acceptor.local_endpoint()),
                                .target = "/",
                                .body = "question",
                                .expiry = MonotonicClock::now() + limit};
        request.freshConnection = fresh;
        return this->ioThread.start(this->client.exchange(std::move(request), this->handle));
    }

    PlainSocket accept()
    {
        return PlainSocket(this->acceptor.accept());
    }

    Asio::io_context context;
    Tcp::acceptor acceptor{this->context, anyPort()};
    std::shared_ptr<ExchangeHandle> handle = std::make_shared<ExchangeHandle>();
    IoThread ioThread;
    BackendClient client{this->ioThread.context.get_executor()};
};

} // namespace

// Guards against a refused connection being reported as a request that may have run, which would rule out a retry.
Test(backend_client, a_refused_connection_is_not_sent)
{
    ClientFixture fixture;
    const std::string address = toString(fixture.acceptor.local_endpoint());
    fixture.acceptor.close();
    ExchangeRequest request{.address = address, .target = "/", .expiry = MonotonicClock::now() + generousTimeout};
    const ExchangeResult result = fixture.ioThread.start(fixture.client.exchange(std::move(request), fixture.handle)).get();
    cr_assert(result.status == ExchangeStatus::NotSent);
}

// Guards against a request that may have run being reported as not sent, and therefore sent twice.
Test(backend_client, a_connection_closed_after_the_request_is_lost)
{
    ClientFixture fixture;
    std::future<ExchangeResult> result = fixture.exchange();
    {
        PlainSocket server = fixture.accept();
        server.readUntil("question");
    }
    cr_assert(result.get().status == ExchangeStatus::Lost);
    cr_assert_eq(fixture.client.idleConnections(), 0);
}

// Guards against attributing a server's timeout to its connection, and against reusing a connection with a pending reply.
Test(backend_client, no_reply_is_timed_out)
{
    ClientFixture fixture;
    std::future<ExchangeResult> result = fixture.exchange(50ms);
    PlainSocket server = fixture.accept();
    const ExchangeResult exchange = result.get();
    cr_assert(exchange.status == ExchangeStatus::TimedOut);
    cr_assert(!exchange.connectionAtFault);
    cr_assert_eq(fixture.client.idleConnections(), 0);
}

// Guards against a late reply to a cancelled request being read as the reply to the next one.
Test(backend_client, the_connection_of_a_cancelled_exchange_is_not_used_again)
{
    ClientFixture fixture;
    std::future<ExchangeResult> result = fixture.exchange();
    PlainSocket first = fixture.accept();
    first.readUntil("question");
    fixture.handle->cancel();
    cr_assert(result.get().status == ExchangeStatus::Cancelled);
    cr_assert(first.readAll().empty());
    // The client replaces the closed connection at once; the next exchange takes the replacement.
    PlainSocket second = fixture.accept();
    while (fixture.client.idleConnections() == 0) {
        std::this_thread::sleep_for(1ms);
    }
    fixture.handle = std::make_shared<ExchangeHandle>();
    std::future<ExchangeResult> next = fixture.exchange();
    second.readUntil("question");
    second.send(keepAliveReply);
    cr_assert(next.get().status == ExchangeStatus::Completed);
}

// Guards against ejecting a working server because one older connection to it stalled.
Test(backend_client, a_stalled_connection_beside_a_newer_working_one_is_at_fault)
{
    ClientFixture fixture;
    std::future<ExchangeResult> silent = fixture.exchange(2s);
    PlainSocket first = fixture.accept();
    first.readUntil("question");
    fixture.handle = std::make_shared<ExchangeHandle>();
    std::future<ExchangeResult> working = fixture.exchange(generousTimeout, true);
    PlainSocket second = fixture.accept();
    second.send(keepAliveReply);
    cr_assert(working.get().status == ExchangeStatus::Completed);
    const ExchangeResult exchange = silent.get();
    cr_assert(exchange.status == ExchangeStatus::TimedOut);
    cr_assert(exchange.connectionAtFault);
}

// Guards against sending a request on a connection that the server closed while it was idle.
Test(backend_client, a_stale_idle_connection_is_not_used)
{
    ClientFixture fixture;
    std::future<ExchangeResult> first = fixture.exchange();
    {
        PlainSocket server = fixture.accept();
        server.readUntil("question");
        server.send(keepAliveReply);
        cr_assert(first.get().status == ExchangeStatus::Completed);
        cr_assert_eq(fixture.client.idleConnections(), 1);
    }
    std::future<ExchangeResult> second = fixture.exchange();
    PlainSocket server = fixture.accept();
    server.readUntil("question");
    server.send(keepAliveReply);
    cr_assert(second.get().status == ExchangeStatus::Completed);
}

// Guards against idle connections that use up a server's connection limit although the front rarely uses them.
Test(backend_client, idle_connections_beyond_the_minimum_are_closed_after_the_surplus_timeout)
{
    ClientFixture fixture;
    std::vector<PlainSocket> servers;
    std::vector<std::future<ExchangeResult>> results;
    for (int index = 0; index < 3; ++index) {
        ExchangeRequest request{.address = toString(fixture.acceptor.local_endpoint()),
                                .target = "/",
                                .body = "question",
                                .expiry = MonotonicClock::now() + generousTimeout,
                                .minimumIdle = 1,
                                .surplusIdleTimeout = 1s};
        results.push_back(fixture.ioThread.start(fixture.client.exchange(std::move(request), std::make_shared<ExchangeHandle>())));
        servers.push_back(fixture.accept());
        servers.back().readUntil("question");
    }
    for (std::size_t index = 0; index < servers.size(); ++index) {
        servers[index].send(keepAliveReply);
        cr_assert(results[index].get().status == ExchangeStatus::Completed);
    }
    fixture.client.closeIdle(MonotonicClock::now());
    cr_assert_eq(fixture.client.idleConnections(), 3);
    fixture.client.closeIdle(MonotonicClock::now() + 2s);
    cr_assert_eq(fixture.client.idleConnections(), 1);
    fixture.client.closeIdle(MonotonicClock::now() + 1min);
    cr_assert_eq(fixture.client.idleConnections(), 0);
}

// Guards against connections to removed servers staying open until the process ends.
Test(backend_client, connections_to_removed_servers_are_closed)
{
    ClientFixture fixture;
    std::future<ExchangeResult> result = fixture.exchange();
    PlainSocket server = fixture.accept();
    server.readUntil("question");
    server.send(keepAliveReply);
    cr_assert(result.get().status == ExchangeStatus::Completed);
    fixture.client.retain({toString(fixture.acceptor.local_endpoint())});
    cr_assert_eq(fixture.client.idleConnections(), 1);
    fixture.client.retain({"10.0.0.1:1"});
    cr_assert_eq(fixture.client.idleConnections(), 0);
}

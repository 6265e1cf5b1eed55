#include "galenawell/core/endpoint.h"
#include "galenawell/transport/backendclient.h"
#include "loopback.h"

#include <atomic>
#include <criterion/criterion.h>
#include <malloc.h>
#include <poll.h>
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

// Guards against bytes that aren't a reply but are taken for one: a status that no server may send.
Test(backend_client, a_status_outside_the_valid_range_is_no_reply)
{
    ClientFixture fixture;
    for (const char *status : {"000", "001", "099", "101", "600", "999"}) {
        std::future<ExchangeResult> result = fixture.exchange();
        PlainSocket server = fixture.accept();
        server.readUntil("question");
        server.send("HTTP/1.1 " + std::string(status) + " Text\r\nContent-Length: 2\r\n\r\nok");
        const ExchangeResult exchange = result.get();
        cr_assert(exchange.status == ExchangeStatus::InvalidReply, "%s", status);
        cr_assert_eq(fixture.client.idleConnections(), 0);
    }
    for (const char *status : {"200", "404", "599"}) {
        std::future<ExchangeResult> result = fixture.exchange(generousTimeout, true);
        PlainSocket server = fixture.accept();
        server.readUntil("question");
        server.send("HTTP/1.1 " + std::string(status) + " Text\r\nContent-Length: 2\r\n\r\nok");
        cr_assert(result.get().status == ExchangeStatus::Completed, "%s", status);
    }
}

// Guards against a compressed body that is taken for the server's body, because the last of its codings is the chunked one.
Test(backend_client, a_reply_with_other_transfer_codings_is_no_reply)
{
    ClientFixture fixture;
    for (const char *codings : {"gzip, chunked", "gzip", "chunked, chunked", "identity\r\nTransfer-Encoding: chunked"}) {
        std::future<ExchangeResult> result = fixture.exchange();
        {
            PlainSocket server = fixture.accept();
            server.readUntil("question");
            server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(codings) + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        }
        const ExchangeStatus status = result.get().status;
        cr_assert(status == ExchangeStatus::InvalidReply || status == ExchangeStatus::Lost, "%s", codings);
    }
    std::future<ExchangeResult> result = fixture.exchange();
    PlainSocket server = fixture.accept();
    server.readUntil("question");
    server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    cr_assert(result.get().body == "ok");
}

// Guards against a late copy of a rejection that is taken for the reply to the repetition of the request (review/6): it has the same
// id, and the request would run on two servers.
Test(backend_client, a_request_is_not_repeated_on_the_connection_that_carried_its_rejection)
{
    ClientFixture fixture;
    const auto history = std::make_shared<ConnectionHistory>();
    const auto send = [&](const std::string &id) {
        ExchangeRequest request{
            .address = toString(fixture.acceptor.local_endpoint()), .target = "/", .expiry = MonotonicClock::now() + generousTimeout};
        request.id = id;
        request.readId = [](const ExchangeResult &result) { return std::string(findHeader(result.headers, "Id")); };
        request.history = id == "a" ? history : nullptr;
        return fixture.ioThread.start(fixture.client.exchange(std::move(request), std::make_shared<ExchangeHandle>()));
    };
    const auto reply = [](const std::string &status, const std::string &id) {
        return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n";
    };
    std::future<ExchangeResult> rejected = send("a");
    PlainSocket first = fixture.accept();
    first.readUntil("\r\n\r\n");
    first.send(reply("503 Busy", "a"));
    cr_assert_eq(rejected.get().httpStatus, 503);
    // Another request may use the connection, and doesn't make it forget what it carried.
    std::future<ExchangeResult> other = send("b");
    first.readUntil("\r\n\r\n");
    first.send(reply("200 OK", "b"));
    cr_assert_eq(other.get().httpStatus, 200);
    std::future<ExchangeResult> repeated = send("a");
    pollfd connects{.fd = fixture.acceptor.native_handle(), .events = POLLIN, .revents = 0};
    constexpr int generousMilliseconds = 10'000;
    cr_assert_eq(poll(&connects, 1, generousMilliseconds), 1, "the repetition doesn't open a connection");
    PlainSocket second = fixture.accept();
    second.readUntil("\r\n\r\n");
    first.send(reply("503 Busy", "a"));
    second.send(reply("200 OK", "a"));
    cr_assert_eq(repeated.get().httpStatus, 200);
}

// Guards against one more open connection for each repetition of a rejected request: servers reset those beyond their limit.
Test(backend_client, repetitions_do_not_keep_more_idle_connections_than_the_minimum)
{
    constexpr std::size_t minimumIdle = 2;
    ClientFixture fixture;
    const auto history = std::make_shared<ConnectionHistory>();
    std::vector<PlainSocket> servers;
    for (std::size_t attempt = 1; attempt <= 4; ++attempt) {
        ExchangeRequest request{
            .address = toString(fixture.acceptor.local_endpoint()), .target = "/", .expiry = MonotonicClock::now() + generousTimeout};
        request.history = history;
        request.minimumIdle = minimumIdle;
        std::future<ExchangeResult> result
            = fixture.ioThread.start(fixture.client.exchange(std::move(request), std::make_shared<ExchangeHandle>()));
        servers.push_back(fixture.accept());
        servers.back().readUntil("\r\n\r\n");
        servers.back().send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        cr_assert_eq(result.get().httpStatus, 503);
        cr_assert_eq(fixture.client.idleConnections(), std::min(attempt, minimumIdle), "attempt %zu", attempt);
    }
}

// Guards against a connection that remembers each rejected request it has carried: its memory, and the time to search it, would grow
// with the traffic.
Test(backend_client, rejected_requests_leave_nothing_on_a_kept_connection)
{
    constexpr int requests = 2000;
    constexpr std::size_t idBytes = 4096;
    ClientFixture fixture;
    std::jthread server([&fixture] {
        PlainSocket socket = fixture.accept();
        for (std::string head = socket.readUntil("\r\n\r\n"); !head.empty(); head = socket.readUntil("\r\n\r\n")) {
            const std::size_t start = head.find("Id: ");
            socket.send("HTTP/1.1 503 Busy\r\n" + head.substr(start, head.find('\r', start) - start) + "\r\nContent-Length: 0\r\n\r\n");
        }
    });
    const auto reject = [&fixture](int first, int count) {
        for (int index = first; index < first + count; ++index) {
            ExchangeRequest request{
                .address = toString(fixture.acceptor.local_endpoint()), .target = "/", .expiry = MonotonicClock::now() + generousTimeout};
            request.headers = {{"Id", std::string(idBytes, 'x') + std::to_string(index)}};
            request.id = request.headers.front().value;
            request.readId = [](const ExchangeResult &result) { return std::string(findHeader(result.headers, "Id")); };
            request.history = std::make_shared<ConnectionHistory>();
            std::future<ExchangeResult> result
                = fixture.ioThread.start(fixture.client.exchange(std::move(request), std::make_shared<ExchangeHandle>()));
            cr_assert_eq(result.get().httpStatus, 503);
        }
    };
    constexpr int warmUp = 100;
    reject(0, warmUp);
    const std::size_t before = mallinfo2().uordblks;
    reject(warmUp, requests);
    const std::size_t after = mallinfo2().uordblks;
    const std::size_t idle = fixture.client.idleConnections();
    fixture.client.retain({});
    cr_assert_eq(idle, 1);
    cr_assert_lt(after, before + requests * idBytes / 10, "%zu bytes more", after - before);
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

namespace {

// Requests with an id, over one client, and replies that state an id in a header.
struct IdentifiedRequests
{
    std::future<ExchangeResult> send(const std::string &id)
    {
        ExchangeRequest request{
            .address = toString(this->fixture.acceptor.local_endpoint()), .target = "/", .expiry = MonotonicClock::now() + generousTimeout};
        request.headers = {{"Id", id}};
        request.id = id;
        request.readId = [](const ExchangeResult &result) { return std::string(findHeader(result.headers, "Id")); };
        return this->fixture.ioThread.start(this->fixture.client.exchange(std::move(request), std::make_shared<ExchangeHandle>()));
    }

    static std::string replyTo(const std::string &id, const std::string &status = "200 OK")
    {
        return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
    }

    ClientFixture fixture;
};

} // namespace

// Guards against losing the reply to a request because a second copy of the reply before it arrives first: the request has run, and
// its caller would get an error.
Test(backend_client, the_reply_behind_a_copy_of_the_reply_before_is_delivered)
{
    IdentifiedRequests requests;
    std::future<ExchangeResult> first = requests.send("1");
    PlainSocket server = requests.fixture.accept();
    server.readUntil("Id: 1");
    server.send(IdentifiedRequests::replyTo("1", "503 Busy"));
    cr_assert_eq(first.get().httpStatus, 503);
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string copy = IdentifiedRequests::replyTo("1", "503 Busy");
    int number = 2;
    std::string previous = copy;
    for (const std::string &ahead : {previous, interim + previous, previous + previous, previous + interim}) {
        for (const std::size_t split : {std::size_t(0), ahead.size() / 2, ahead.size()}) {
            const std::string id = std::to_string(number++);
            std::future<ExchangeResult> result = requests.send(id);
            server.readUntil("Id: " + id);
            server.send(ahead.substr(0, split));
            if (split > 0) {
                std::this_thread::sleep_for(5ms);
            }
            server.send(ahead.substr(split) + IdentifiedRequests::replyTo(id));
            const ExchangeResult exchange = result.get();
            cr_assert(exchange.status == ExchangeStatus::Completed && exchange.httpStatus == 200 && exchange.body == id, "%s", id.c_str());
            cr_assert_geq(exchange.skippedReplies, 1);
            cr_assert_eq(requests.fixture.client.idleConnections(), 1);
            // The next copies are of the first reply again.
            std::future<ExchangeResult> again = requests.send("1");
            server.readUntil("Id: 1");
            server.send(copy);
            cr_assert_eq(again.get().httpStatus, 503);
        }
    }
}

// Guards against the reply to another request being taken for the reply to this one, and against a connection that stays one reply
// behind after it.
Test(backend_client, a_connection_without_the_reply_to_its_request_is_not_used_again)
{
    const std::string own = IdentifiedRequests::replyTo("2");
    const std::vector<std::pair<std::string, std::string>> replies{
        {"of an unknown request", IdentifiedRequests::replyTo("0") + own},
        {"without an id", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + own},
        {"copies without end",
         [] {
             std::string copies;
             for (int index = 0; index < 100; ++index) {
                 copies += IdentifiedRequests::replyTo("1");
             }
             return copies;
         }()},
    };
    for (const auto &[name, text] : replies) {
        IdentifiedRequests requests;
        std::future<ExchangeResult> first = requests.send("1");
        PlainSocket server = requests.fixture.accept();
        server.readUntil("Id: 1");
        server.send(IdentifiedRequests::replyTo("1"));
        cr_assert(first.get().status == ExchangeStatus::Completed && requests.fixture.client.idleConnections() == 1);
        std::future<ExchangeResult> second = requests.send("2");
        server.readUntil("Id: 2");
        server.send(text);
        cr_assert(second.get().status == ExchangeStatus::InvalidReply, "%s", name.c_str());
        cr_assert_eq(requests.fixture.client.idleConnections(), 0);
        std::future<ExchangeResult> third = requests.send("3");
        PlainSocket next = requests.fixture.accept();
        next.readUntil("Id: 3");
        next.send(IdentifiedRequests::replyTo("3"));
        cr_assert_eq(third.get().body, "3");
    }
}

// Guards against waiting for a reply behind a copy after the server has closed the connection, and against calling it not sent.
Test(backend_client, a_copy_of_the_reply_before_that_ends_the_connection_is_no_reply)
{
    IdentifiedRequests requests;
    std::future<ExchangeResult> first = requests.send("1");
    {
        PlainSocket server = requests.fixture.accept();
        server.readUntil("Id: 1");
        server.send(IdentifiedRequests::replyTo("1"));
        cr_assert(first.get().status == ExchangeStatus::Completed);
        std::future<ExchangeResult> second = requests.send("2");
        server.readUntil("Id: 2");
        server.send("HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        server.socket.close();
        cr_assert(second.get().status == ExchangeStatus::Lost);
    }
    cr_assert_eq(requests.fixture.client.idleConnections(), 0);
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

// Guards against a reply whose end is missing being taken for a whole one, wherever the server stops.
Test(backend_client, a_reply_cut_at_any_byte_is_not_completed)
{
    const std::vector<std::string> replies{
        "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Proof: s\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nX-Proof: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    };
    for (const std::string &reply : replies) {
        for (std::size_t length = 0; length <= reply.size(); ++length) {
            ClientFixture fixture;
            std::future<ExchangeResult> result = fixture.exchange();
            {
                PlainSocket server = fixture.accept();
                server.readUntil("question");
                server.send(reply.substr(0, length));
            }
            const ExchangeResult exchange = result.get();
            const bool whole = length == reply.size();
            cr_assert((exchange.status == ExchangeStatus::Completed) == whole, "%zu of %zu bytes", length, reply.size());
            cr_assert(!whole || exchange.body == "body");
        }
    }
}

// Guards against a head cut before its length being taken for a reply that ends with the connection.
Test(backend_client, a_reply_without_a_length_is_completed_only_with_a_whole_head)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Proof: s\r\n\r\n";
    for (std::size_t length = 0; length <= head.size(); ++length) {
        ClientFixture fixture;
        std::future<ExchangeResult> result = fixture.exchange();
        {
            PlainSocket server = fixture.accept();
            server.readUntil("question");
            server.send(head.substr(0, length));
        }
        cr_assert((result.get().status == ExchangeStatus::Completed) == (length == head.size()), "%zu bytes", length);
    }
}

namespace {

// Sends the part again and again until the client closes the connection; returns the number of bytes.
std::size_t sendWithoutEnd(PlainSocket &server, const std::string &part)
{
    std::size_t sent = 0;
    Beast::error_code error;
    while (!error) {
        sent += Asio::write(server.socket, Asio::buffer(part), error);
    }
    return sent;
}

} // namespace

// Guards against a server whose reply never ends taking the front's memory or its time until the deadline.
Test(backend_client, a_reply_without_end_is_dropped_in_every_part_of_the_message)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(4096, 'x');
    const std::vector<std::pair<std::string, std::string>> replies{
        {"", filler},
        {head, "X-Header: " + filler.substr(0, 500) + "\r\n"},
        {head + "X-Header: ", filler},
        {head + "\r\n", filler},
        {chunked, "1000\r\n" + filler + "\r\n"},
        {chunked + "4;name=", filler},
        {chunked + "0\r\n", "X-Trailer: " + filler.substr(0, 500) + "\r\n"},
        {"", "HTTP/1.1 102 Processing\r\n\r\n"},
        {chunked, "1;name=" + filler + "\r\nx\r\n"},
    };
    for (std::size_t index = 0; index < replies.size(); ++index) {
        ClientFixture fixture;
        std::future<ExchangeResult> result = fixture.exchange();
        PlainSocket server = fixture.accept();
        server.readUntil("question");
        server.send(replies[index].first);
        sendWithoutEnd(server, replies[index].second);
        const ExchangeStatus status = result.get().status;
        cr_assert(status == ExchangeStatus::TooLarge || status == ExchangeStatus::Lost, "reply %zu", index);
        cr_assert_eq(fixture.client.idleConnections(), 0);
        cr_assert_eq(fixture.client.replyBytes(), 0);
    }
}

// Guards against an interim reply being taken for the reply, whose bytes would then belong to the next request.
Test(backend_client, a_reply_after_interim_replies_is_the_reply)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    for (const bool together : {true, false}) {
        ClientFixture fixture;
        std::future<ExchangeResult> result = fixture.exchange();
        PlainSocket server = fixture.accept();
        server.readUntil("question");
        server.send(together ? interim + keepAliveReply : interim);
        if (!together) {
            cr_assert(result.wait_for(100ms) == std::future_status::timeout);
            server.send(keepAliveReply);
        }
        const ExchangeResult exchange = result.get();
        cr_assert(exchange.status == ExchangeStatus::Completed && exchange.httpStatus == 200 && exchange.body == "ok");
        cr_assert_eq(fixture.client.idleConnections(), 1);
    }
}

// Guards against a reply with little content and endless framing taking the memory that the replies of working servers share.
Test(backend_client, endless_framing_takes_little_of_the_shared_memory)
{
    const std::string filler(4096, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &part : {std::string("HTTP/1.1 102 Processing\r\n\r\n"), head + "1;name=" + filler + "\r\nx\r\n"}) {
        ClientFixture fixture;
        std::future<ExchangeResult> result = fixture.exchange();
        PlainSocket server = fixture.accept();
        server.readUntil("question");
        server.send(part);
        std::size_t highest = 0;
        Beast::error_code error;
        while (!error) {
            Asio::write(server.socket, Asio::buffer(part.starts_with(head) ? part.substr(head.size()) : part), error);
            highest = std::max(highest, fixture.client.replyBytes());
        }
        cr_assert(result.get().status == ExchangeStatus::TooLarge);
        cr_assert_leq(highest, std::size_t(256) * 1024);
    }
}

// Guards against small chunks, whose framing is larger than their content, being refused as endless.
Test(backend_client, a_long_reply_in_chunks_of_one_byte_is_completed)
{
    constexpr std::size_t length = 200000;
    ClientFixture fixture;
    std::future<ExchangeResult> result = fixture.exchange();
    PlainSocket server = fixture.accept();
    server.readUntil("question");
    std::string reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t index = 0; index < length; ++index) {
        reply += "1\r\nx\r\n";
    }
    server.send(reply + "0\r\n\r\n");
    const ExchangeResult exchange = result.get();
    cr_assert(exchange.status == ExchangeStatus::Completed && exchange.body == std::string(length, 'x'));
}

// Guards against bytes after a whole reply being kept in memory or read as the reply to the next request.
Test(backend_client, bytes_without_end_after_a_whole_reply_are_dropped_with_the_connection)
{
    ClientFixture fixture;
    std::future<ExchangeResult> first = fixture.exchange();
    PlainSocket server = fixture.accept();
    server.readUntil("question");
    server.send(keepAliveReply);
    cr_assert(first.get().status == ExchangeStatus::Completed);
    std::jthread sender([&server] { sendWithoutEnd(server, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"); });
    std::this_thread::sleep_for(100ms);
    cr_assert_eq(fixture.client.replyBytes(), 0);
    std::future<ExchangeResult> second = fixture.exchange();
    PlainSocket other = fixture.accept();
    other.readUntil("question");
    other.send(keepAliveReply);
    const ExchangeResult exchange = second.get();
    cr_assert(exchange.status == ExchangeStatus::Completed && exchange.connected && exchange.body == "ok");
}

// Guards against an endless reply being read on although nobody waits for it any more.
Test(backend_client, a_cancelled_exchange_stops_reading_an_endless_reply)
{
    ClientFixture fixture;
    std::future<ExchangeResult> result = fixture.exchange();
    PlainSocket server = fixture.accept();
    server.readUntil("question");
    server.send("HTTP/1.1 200 OK\r\n\r\n");
    std::atomic<bool> ended{false};
    std::jthread sender([&] {
        Beast::error_code error;
        while (!error) {
            Asio::write(server.socket, Asio::buffer(std::string(64, 'x')), error);
            std::this_thread::sleep_for(1ms);
        }
        ended = true;
    });
    std::this_thread::sleep_for(50ms);
    cr_assert(!ended);
    fixture.handle->cancel();
    cr_assert(result.get().status == ExchangeStatus::Cancelled);
    sender.join();
    cr_assert_eq(fixture.client.replyBytes(), 0);
}

// Guards against many servers whose replies never end taking the memory of the process, each below the limit of one reply,
// and against dropping the replies of working servers instead.
Test(backend_client, the_memory_of_all_replies_together_is_bounded)
{
    constexpr std::size_t limit = std::size_t(1024) * 1024;
    ClientFixture fixture;
    BackendClient client{fixture.ioThread.context.get_executor(), BackendClientOptions{.replyMemoryBytes = limit}};
    const auto exchange = [&] {
        ExchangeRequest request{.address = toString(fixture.acceptor.local_endpoint()),
                                .target = "/",
                                .body = "question",
                                .expiry = MonotonicClock::now() + generousTimeout};
        return fixture.ioThread.start(client.exchange(std::move(request), std::make_shared<ExchangeHandle>()));
    };
    std::future<ExchangeResult> working = exchange();
    PlainSocket workingServer = fixture.accept();
    std::vector<std::future<ExchangeResult>> endless;
    std::vector<std::jthread> servers;
    std::atomic<std::size_t> highest{0};
    for (int index = 0; index < 8; ++index) {
        const bool chunked = index % 2 == 0;
        endless.push_back(exchange());
        servers.emplace_back([&, chunked, socket = std::make_shared<PlainSocket>(fixture.accept())] {
            const std::string part = chunked ? "4000\r\n" + std::string(16384, 'x') + "\r\n" : std::string(16384, 'x');
            socket->readUntil("question");
            socket->send(chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" : "HTTP/1.1 200 OK\r\n\r\n");
            Beast::error_code error;
            while (!error) {
                Asio::write(socket->socket, Asio::buffer(part), error);
                highest = std::max(highest.load(), client.replyBytes());
            }
        });
    }
    for (std::future<ExchangeResult> &result : endless) {
        cr_assert(result.get().status == ExchangeStatus::TooLarge);
    }
    servers.clear();
    // The last read of each reply may exceed the limit.
    cr_assert_leq(highest.load(), 2 * limit);
    workingServer.readUntil("question");
    workingServer.send(keepAliveReply);
    cr_assert(working.get().status == ExchangeStatus::Completed);
    cr_assert_eq(client.replyBytes(), 0);
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

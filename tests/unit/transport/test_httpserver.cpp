#include "galenawell/transport/httpserver.h"
#include "loopback.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <sstream>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

// A server whose handler echoes the body; "/wait" answers only after release().
class EchoServer
{
public:
    explicit EchoServer(HttpServerOptions options)
    {
        options.address = anyPort();
        const HttpServer::RefusalHandler refuse
            = [](RefusalReason reason, const std::string &) { return HttpResponse{.status = 400, .body = std::string(toString(reason))}; };
        this->server = std::make_shared<HttpServer>(
            this->ioThread.context.get_executor(),
            options,
            [this](HttpRequest request) { return this->handle(std::move(request)); },
            refuse);
        this->server->start();
    }

    ~EchoServer()
    {
        this->server->stop();
    }

    PlainSocket connect()
    {
        Tcp::socket socket(this->clients);
        socket.connect(this->server->address());
        return PlainSocket(std::move(socket));
    }

    // The complete reply to the text; the server must close the connection.
    std::string reply(const std::string &text)
    {
        PlainSocket client = this->connect();
        client.send(text);
        return client.readAll();
    }

    void release()
    {
        Asio::post(this->ioThread.context, [this] { this->waitTimer.cancel(); });
    }

    std::promise<void> handlerWaiting;
    std::atomic<int> counted{0};
    Asio::io_context clients;
    IoThread ioThread;
    std::shared_ptr<HttpServer> server;

private:
    Asio::awaitable<HttpResponse> handle(HttpRequest request)
    {
        if (request.path == "/wait") {
            this->handlerWaiting.set_value();
            co_await this->waitTimer.async_wait(awaitResult);
        }
        if (request.path == "/count") {
            ++this->counted;
        }
        if (request.path == "/throw") {
            throw std::runtime_error("handler failed");
        }
        co_return HttpResponse{.body = "echo:" + request.body};
    }

    Asio::steady_timer waitTimer{this->ioThread.context, Asio::steady_timer::time_point::max()};
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string post(const std::string &path, const std::string &body, const std::string &headers = "Connection: close\r\n")
{
    return "POST " + path + " HTTP/1.1\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against unbounded memory use by oversized requests.
Test(http_server, oversized_headers_and_bodies_are_refused)
{
    EchoServer echo({.limits = {.maximumHeaderBytes = 512, .maximumBodyBytes = 64}});
    const std::string tooLarge(toString(RefusalReason::RequestTooLarge));
    cr_assert(contains(echo.reply(post("/", "", "X: " + std::string(600, 'x') + "\r\n")), tooLarge));
    cr_assert(contains(echo.reply(post("/", std::string(65, 'x'))), tooLarge));
    cr_assert(contains(echo.reply(post("/", std::string(64, 'x'))), "echo:"));
}

// Guards against closing the connection of a slow sender without a refusal, and against keeping it open for ever.
Test(http_server, a_slow_sender_is_refused_and_its_connection_closed)
{
    EchoServer echo({.limits = {.requestReadTimeout = 50ms}});
    cr_assert(
        contains(echo.reply("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"), std::string(toString(RefusalReason::SenderTooSlow))));
}

// Guards against a read timeout that aborts a handler or the next request on the connection.
Test(http_server, the_request_read_timeout_does_not_apply_to_the_handler)
{
    EchoServer echo({.limits = {.requestReadTimeout = 50ms}});
    PlainSocket client = echo.connect();
    client.send(post("/wait", "first", ""));
    echo.handlerWaiting.get_future().wait();
    std::this_thread::sleep_for(100ms);
    echo.release();
    cr_assert(contains(client.readUntil("echo:first"), "echo:first"));
    client.send(post("/", "second"));
    cr_assert(contains(client.readAll(), "echo:second"));
}

// Guards against unlimited connections, and against closed connections that still count towards the limit.
Test(http_server, connections_above_the_limit_are_refused)
{
    EchoServer echo({.maximumConnections = 1});
    {
        PlainSocket first = echo.connect();
        first.send(post("/wait", "a", ""));
        echo.handlerWaiting.get_future().wait();
        cr_assert(contains(echo.connect().readAll(), std::string(toString(RefusalReason::TooManyConnections))));
        echo.release();
        cr_assert(contains(first.readUntil("echo:a"), "echo:a"));
    }
    while (echo.server->connectionCount() > 0) {
        std::this_thread::sleep_for(1ms);
    }
    cr_assert(contains(echo.reply(post("/", "b")), "echo:b"));
}

// Guards against a reader that depends on how a body is cut into chunks, or how its bytes arrive.
Test(http_server, any_chunks_and_any_reads_give_the_same_request)
{
    EchoServer echo({.limits = {.maximumHeaderBytes = 4096, .maximumBodyBytes = 100'000}});
    const bool holds = rc::check([&echo] {
        std::string body;
        std::ostringstream text;
        text << "POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
        const int largest = *rc::gen::element(1, 50, 20'000);
        for (int chunks = *rc::gen::inRange(0, 5); chunks > 0; --chunks) {
            const auto size = static_cast<std::size_t>(*rc::gen::inRange(1, largest + 1));
            const std::string chunk(size, static_cast<char>('a' + chunks));
            text << std::hex << size << *rc::gen::element<std::string>("", ";name=value") << "\r\n" << chunk << "\r\n";
            body += chunk;
        }
        text << "0\r\n" << *rc::gen::element<std::string>("", "Trailer-Field: value\r\n") << "\r\n";
        const std::string message = text.str();
        PlainSocket client = echo.connect();
        client.socket.set_option(Tcp::no_delay(true));
        const auto part = static_cast<std::size_t>(*rc::gen::element(1, 7, 1000, 100'000));
        const std::size_t parts = *rc::gen::inRange<std::size_t>(1, 30);
        std::size_t sent = 0;
        for (std::size_t index = 1; index < parts && sent < message.size(); ++index) {
            client.send(message.substr(sent, part));
            sent += std::min(part, message.size() - sent);
        }
        client.send(message.substr(sent));
        const std::string reply = client.readAll();
        RC_ASSERT(reply.starts_with("HTTP/1.1 200 "));
        RC_ASSERT(reply.substr(reply.find("\r\n\r\n") + 4) == "echo:" + body);
    });
    cr_assert(holds);
}

// Guards against idle connections that keep a caller with a request out.
Test(http_server, an_idle_connection_gives_way_to_a_new_one_when_the_limit_is_reached)
{
    EchoServer echo({.maximumConnections = 1});
    PlainSocket idle = echo.connect();
    idle.send(post("/", "a", ""));
    idle.readUntil("echo:a");
    cr_assert(contains(echo.reply(post("/", "b")), "echo:b"));
    cr_assert(idle.readAll().empty());
}

// Guards against requests that are served after their caller has gone.
Test(http_server, pipelined_requests_of_a_caller_that_has_gone_are_not_served)
{
    EchoServer echo({});
    {
        PlainSocket caller = echo.connect();
        std::string requests = post("/wait", "", "");
        for (int index = 0; index < 100; ++index) {
            requests += post("/count", "", "");
        }
        caller.send(requests);
        echo.handlerWaiting.get_future().wait();
        // Closing resets the connection instead of ending it, as if the caller's process had been killed.
        caller.socket.set_option(Asio::socket_base::linger(true, 0));
    }
    echo.release();
    while (echo.server->connectionCount() > 0) {
        std::this_thread::sleep_for(1ms);
    }
    cr_assert_eq(echo.counted.load(), 0);
}

// Guards against validation of the body by the server, which is the handler's task.
Test(http_server, truncated_json_reaches_the_handler)
{
    EchoServer echo({});
    cr_assert(contains(echo.reply(post("/", R"({"id": "a)")), R"(echo:{"id": "a)"));
}

// Guards against a request that stays counted as in flight after its handler threw, which would block shutdown.
Test(http_server, a_handler_that_throws_leaves_no_request_in_flight)
{
    EchoServer echo({});
    cr_assert(contains(echo.reply(post("/throw", "")), "HTTP/1.1 500"));
    cr_assert_eq(echo.server->inFlight(), 0);
}

// Guards against a shutdown that aborts a request, or that waits for idle connections.
Test(http_server, stop_finishes_the_request_in_flight_and_closes_idle_connections)
{
    EchoServer echo({});
    PlainSocket idle = echo.connect();
    idle.send(post("/", "a", ""));
    idle.readUntil("echo:a");
    PlainSocket busy = echo.connect();
    busy.send(post("/wait", "b", ""));
    echo.handlerWaiting.get_future().wait();
    echo.server->stop();
    cr_assert(idle.readAll().empty());
    cr_assert_eq(echo.server->inFlight(), 1);
    echo.release();
    cr_assert(contains(busy.readAll(), "echo:b"));
}

// Guards against a HEAD request that waits for a body until its deadline, and whose answer has one that the caller takes for the
// next answer on the connection.
Test(httpserver, a_head_request_is_refused_without_a_body)
{
    EchoServer server(HttpServerOptions{});
    const std::string reply = server.reply("HEAD / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    cr_assert(contains(reply, "HTTP/1.1 405 ") && contains(reply, "Allow: GET, POST"));
    const std::size_t headEnd = reply.find("\r\n\r\n");
    cr_assert(reply.substr(headEnd + 4).starts_with("HTTP/1.1 200 "), "%s", reply.c_str());
}

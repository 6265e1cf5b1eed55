#include "galenawell/transport/httpserver.h"
#include "loopback.h"

#include <criterion/criterion.h>

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
        first.send(post("/", "a", ""));
        first.readUntil("echo:a");
        cr_assert(contains(echo.connect().readAll(), std::string(toString(RefusalReason::TooManyConnections))));
    }
    while (echo.server->connectionCount() > 0) {
        std::this_thread::sleep_for(1ms);
    }
    cr_assert(contains(echo.reply(post("/", "b")), "echo:b"));
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

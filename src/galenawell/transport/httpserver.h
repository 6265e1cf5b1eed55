// HTTP/1.1 server for callers, backend servers and operators. Limits connections, headers, bodies and read times; passes
// complete requests to a handler.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/reasons.h"
#include "galenawell/transport/asio.h"
#include "galenawell/transport/httpheader.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenawell {

// Lets a handler cancel its work when the caller closes the connection. Used only on the connection's strand, on which
// the handler runs.
class CallerConnection
{
public:
    bool closed() const;
    // The callback runs at most once; immediately if the connection is already closed.
    void onClose(std::function<void()> callback);
    void notifyClosed();

private:
    bool isClosed = false;
    std::function<void()> closeCallback;
};

struct HttpRequest
{
    std::string method;
    // Path without the query string.
    std::string path;
    std::map<std::string, std::string> parameters;
    std::string body;
    // Value of "Authorization: Bearer", if present.
    std::string bearerToken;
    // Path and query string as they were sent.
    std::string target;
    std::vector<HttpHeader> headers;
    TimePoint receivedAt;
    // Never null in a request that the server passes to a handler.
    std::shared_ptr<CallerConnection> caller;

    // Value of the first header with this name, in any case; empty if there is none.
    std::string_view header(std::string_view name) const;
};

struct HttpResponse
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::optional<std::chrono::milliseconds> retryAfter;
    // Besides those that the server sets itself.
    std::vector<HttpHeader> headers{};
    // The connection is closed after this response.
    bool close = false;
};

// Limits of one connection. Replaced as a whole while the server runs.
struct HttpLimits
{
    std::uint32_t maximumHeaderBytes = 16 * 1024;
    std::uint64_t maximumBodyBytes = std::uint64_t(1024) * 1024;
    // From the first byte of a request to its last.
    std::chrono::milliseconds requestReadTimeout{5000};
    std::chrono::milliseconds idleTimeout{60000};
};

struct HttpServerOptions
{
    Tcp::endpoint address;
    std::size_t maximumConnections = 1024;
    HttpLimits limits{};
    // Sends Retry-After in fractional seconds, for callers that parse them; else in whole seconds, rounded up.
    bool fractionalRetryAfter = false;
};

class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    using Handler = std::function<Asio::awaitable<HttpResponse>(HttpRequest)>;
    // Makes the response to a request that is refused before it reaches the handler.
    using RefusalHandler = std::function<HttpResponse(RefusalReason, const std::string &detail)>;

    HttpServer(Asio::any_io_executor executor, HttpServerOptions options, Handler handler, RefusalHandler refusalHandler);

    // Throws boost::system::system_error if the address can't be bound.
    void start();
    // Accepts no more connections. Requests that are being handled finish; idle connections are closed.
    void stop();
    // Adds "Connection: close" to every further response; closes and refuses nothing itself.
    void disableKeepAlive();
    void setLimits(const HttpLimits &limits);

    // Requests from their first byte to the end of their response.
    std::size_t inFlight() const;
    std::size_t connectionCount() const;
    Tcp::endpoint address() const;

private:
    struct Connection;

    Asio::awaitable<void> acceptLoop();
    Asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    using RequestParser = Http::request_parser<Http::string_body>;

    // Reports requestReadTimeout as Beast::error::timeout and leaves the connection open for the refusal.
    Asio::awaitable<Beast::error_code> readRequest(std::shared_ptr<Connection> connection, RequestParser &parser);
    Asio::awaitable<HttpResponse> handle(HttpRequest request);
    // Detects that the caller closes its connection while its request is handled. Buffers bytes of a pipelined request.
    Asio::awaitable<void> watchCaller(std::shared_ptr<Connection> connection, std::shared_ptr<CallerConnection> caller);
    Asio::awaitable<bool> serveRequest(std::shared_ptr<Connection> sharedConnection);
    Asio::awaitable<void> respond(Connection &connection, const HttpResponse &response, unsigned version, bool keepAlive);
    void closeIdle();

    Asio::any_io_executor executor;
    HttpServerOptions options;
    Handler handler;
    RefusalHandler makeRefusal;
    Tcp::acceptor acceptor;
    std::atomic<std::size_t> requestsInFlight{0};
    std::atomic<std::size_t> openConnections{0};
    std::atomic<bool> stopping{false};
    std::atomic<bool> keepAliveDisabled{false};
    std::atomic<std::shared_ptr<const HttpLimits>> limits;
    std::mutex connectionsMutex;
    // Every open connection, so that stop() can close the idle ones.
    std::map<Connection *, std::weak_ptr<Connection>> connections;
};

// Splits a request target into path and decoded parameters.
void parseTarget(std::string_view target, HttpRequest &request);

} // namespace Galenawell

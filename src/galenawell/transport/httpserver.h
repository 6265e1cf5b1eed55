// HTTP/1.1 listener for callers, backend servers and operators. Bounds connections, headers, bodies and the time that a
// sender takes; hands whole requests to a handler.
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

// Tells a request's handler that its caller closed the connection, so that work for it can stop. Used on the strand of
// the connection, on which the handler runs.
class CallerConnection
{
public:
    bool gone() const;
    // Called at most once, at once if the caller has already gone.
    void onClose(std::function<void()> callback);
    void leave();

private:
    bool left = false;
    std::function<void()> notify;
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
    // Never null for a request that a server hands out.
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

// What one sender may take. Replaced as a whole while the server runs.
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
    // Retry-After in fractions of a second, for callers that understand them; else in whole seconds, rounded up.
    bool fractionalRetryAfter = false;
};

class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    using Handler = std::function<Asio::awaitable<HttpResponse>(HttpRequest)>;
    // Makes the response to a request that is refused before it reaches the handler.
    using RefusalHandler = std::function<HttpResponse(RefusalReason, const std::string &detail)>;

    HttpServer(Asio::any_io_executor executor, HttpServerOptions options, Handler handler, RefusalHandler refusal);

    // Throws boost::system::system_error if the address can't be bound.
    void start();
    // Accepts no more connections. Requests that are being handled finish; idle connections are closed.
    void stop();
    // Every response from now on asks its caller to close the connection; nothing is closed or refused yet.
    void disableKeepAlive();
    void setLimits(const HttpLimits &limits);

    // Requests between their first byte and the end of their response.
    std::size_t inFlight() const;
    std::size_t connectionCount() const;
    Tcp::endpoint address() const;

private:
    struct Connection;

    Asio::awaitable<void> acceptLoop();
    Asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    using RequestParser = Http::request_parser<Http::string_body>;

    // The sender's time limit is reported as Beast::error::timeout and leaves the connection open for the refusal.
    Asio::awaitable<Beast::error_code> readRequest(std::shared_ptr<Connection> connection, RequestParser &parser);
    Asio::awaitable<HttpResponse> handle(HttpRequest request);
    // Notices that the caller closes its connection while its request is handled. Keeps bytes of a following request.
    Asio::awaitable<void> watchCaller(std::shared_ptr<Connection> connection, std::shared_ptr<CallerConnection> caller);
    Asio::awaitable<bool> serveOne(std::shared_ptr<Connection> shared);
    Asio::awaitable<void> respond(Connection &connection, const HttpResponse &response, unsigned version, bool keepAlive);
    void closeIdle();

    Asio::any_io_executor executor;
    HttpServerOptions options;
    Handler handler;
    RefusalHandler refusal;
    Tcp::acceptor acceptor;
    std::atomic<std::size_t> active{0};
    std::atomic<std::size_t> open{0};
    std::atomic<bool> stopping{false};
    std::atomic<bool> closing{false};
    std::atomic<std::shared_ptr<const HttpLimits>> limits;
    std::mutex connectionsMutex;
    // Every open connection, so that stop() can close the idle ones.
    std::map<Connection *, std::weak_ptr<Connection>> connections;
};

// Splits a request target into path and decoded parameters.
void parseTarget(std::string_view target, HttpRequest &request);

} // namespace Galenawell

// HTTP/1.1 server for callers, backend servers and operators. Limits connections, headers, bodies, read times and the memory of all
// requests together; passes complete requests to a handler. When connections or memory are short, those end first that have been
// idle or incomplete, so that clients that misuse the listener don't keep the others out.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/reasons.h"
#include "galenawell/transport/asio.h"
#include "galenawell/transport/httpheader.h"
#include "galenawell/transport/requestmemory.h"

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
    // What the request holds until its answer is written; the handler adds large results of its own. Never null in a request that
    // the server passes to a handler.
    std::shared_ptr<RequestMemoryHolder> memory;

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
    // Released once the response is written, or can't be.
    std::shared_ptr<const void> resource{};
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
    // Largest body of a request with this method and path.
    using BodyLimit = std::function<std::uint64_t(std::string_view method, std::string_view path)>;

    Tcp::endpoint address;
    std::size_t maximumConnections = 1024;
    HttpLimits limits{};
    // Holds besides the limit of all requests; none if empty.
    BodyLimit bodyLimit{};
    // Shared by the servers of a process. If null, the server has one of its own.
    std::shared_ptr<RequestMemory> memory{};
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
    // Closes connections whose caller has read nothing of its answer for a while, so that what the answers hold is released.
    void closeStalledWriters();

private:
    struct Connection;
    struct RequestRead;
    struct ClosingRank;
    enum class ReadOutcome : std::uint8_t { Complete, Closed, TimedOut, TooLarge, Malformed, OutOfMemory };
    using RequestParser = Http::request_parser<Http::string_body>;

    Asio::awaitable<void> acceptLoop();
    Asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    // Absent if the connection must not be closed for another.
    static std::optional<ClosingRank> closingRankOf(const Connection &connection, TimePoint now);
    // True if a connection is left for the newest one, if need be because another is being closed.
    bool makeRoom();
    // Answers a connection that isn't served, unless too many are being closed already.
    Asio::awaitable<void> turnAway(std::shared_ptr<Connection> connection);
    Asio::awaitable<bool> waitForRequest(std::shared_ptr<Connection> connection);
    // Leaves the connection open for a refusal.
    Asio::awaitable<ReadOutcome> readRequest(std::shared_ptr<Connection> connection, RequestRead &read);
    Asio::awaitable<ReadOutcome> readParts(std::shared_ptr<Connection> connection, RequestRead &read);
    // Passes what the connection has buffered to the parser.
    Asio::awaitable<ReadOutcome> parseBuffered(std::shared_ptr<Connection> connection, RequestRead &read, Beast::error_code &error);
    static Asio::awaitable<ReadOutcome> reserve(std::shared_ptr<Connection> connection, RequestRead &read, std::size_t bytes);
    bool applyBodyLimit(RequestRead &read) const;
    std::shared_ptr<RequestMemoryHolder> makeHolder(const std::shared_ptr<Connection> &connection);
    Asio::awaitable<HttpResponse> handle(HttpRequest request);
    // Detects that the caller closes its connection while its request is handled. Buffers bytes of a pipelined request.
    Asio::awaitable<void> watchCaller(std::shared_ptr<Connection> connection, std::shared_ptr<CallerConnection> caller);
    Asio::awaitable<bool> serveRequest(std::shared_ptr<Connection> connection);
    Asio::awaitable<bool> handleRequest(std::shared_ptr<Connection> connection, RequestRead &read);
    // True if the refusal is written.
    Asio::awaitable<bool> refuse(std::shared_ptr<Connection> connection, ReadOutcome outcome);
    // False if the response can't be written.
    Asio::awaitable<bool> respond(std::shared_ptr<Connection> connection, HttpResponse response, unsigned version, bool keepAlive);
    // Reads on for a moment after a refusal: a connection that is closed with unread bytes is reset, and the refusal is lost.
    Asio::awaitable<void> discardUnread(std::shared_ptr<Connection> connection);
    void closeIdle();

    Asio::any_io_executor executor;
    HttpServerOptions options;
    Handler handler;
    RefusalHandler makeRefusal;
    Tcp::acceptor acceptor;
    std::atomic<std::size_t> requestsInFlight{0};
    std::atomic<std::size_t> openConnections{0};
    // Of these, the ones that are closed after a refusal.
    std::atomic<std::size_t> closingConnections{0};
    std::atomic<bool> stopping{false};
    std::atomic<bool> keepAliveDisabled{false};
    std::atomic<std::shared_ptr<const HttpLimits>> limits;
    std::shared_ptr<RequestMemory> memory;
    std::mutex connectionsMutex;
    // Every open connection, so that others than the newest can be closed.
    std::map<Connection *, std::weak_ptr<Connection>> connections;
};

// Splits a request target into path and decoded parameters.
void parseTarget(std::string_view target, HttpRequest &request);

} // namespace Galenawell

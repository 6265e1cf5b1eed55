// HTTP/1.1 client for backend servers: a pool of keep-alive connections per server, without pipelining. A connection is
// closed if its exchange ends without a complete reply.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/transport/asio.h"
#include "galenawell/transport/connectionhistory.h"
#include "galenawell/transport/httpheader.h"
#include "galenawell/transport/replymemory.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <vector>

namespace Galenawell {

enum class ExchangeStatus : std::uint8_t {
    Completed,
    // The connection failed or timed out before a byte of the request was sent: the server hasn't run it.
    NotSent,
    // The connection closed after the first byte of the request.
    Lost,
    // No complete reply before the expiry.
    TimedOut,
    // The reply exceeds a limit, possibly because it never ends; the request may have run.
    TooLarge,
    // What arrived is no reply of the protocol; the request may have run.
    InvalidReply,
    Cancelled,
};

// What all exchanges of one request send alike. One copy serves them, however many servers the request goes to.
struct SharedContent
{
    std::vector<HttpHeader> headers{};
    std::string body{};
};

struct ExchangeResult;

struct ExchangeRequest
{
    // "IP:port".
    std::string address;
    std::string method = "POST";
    std::string target;
    // Sent besides Content-Length and Content-Type; Host is added if absent.
    std::vector<HttpHeader> headers{};
    // If empty, no Content-Type is added.
    std::string contentType = "application/json";
    std::string body;
    // If set, sent besides the headers and in place of the body.
    std::shared_ptr<const SharedContent> shared{};
    TimePoint expiry;
    // Of the connection attempt, besides the expiry.
    std::chrono::milliseconds connectTimeout = std::chrono::hours(1);
    std::size_t maximumReplyBytes = std::size_t(4) * 1024 * 1024;
    // Of the status line and the header fields.
    std::uint32_t maximumReplyHeaderBytes = 16 * 1024;
    // Uses a new connection, as an idle one may have broken unnoticed; for requests that can't be retried after a lost reply.
    bool freshConnection = false;
    // What replies to this request state, and how it is read from a reply; nothing is compared if there is no function. The function
    // returns an empty text for a reply that states nothing, or contradicts itself.
    std::string id{};
    std::function<std::string(const ExchangeResult &)> readId{};
    // Shared by the exchanges that send the same request, if they are sent alike: none of them uses a connection that has carried
    // another one, as a late copy of its reply would be taken for the reply to this one.
    std::shared_ptr<ConnectionHistory> history{};
    // Idle connections to the server beyond minimumIdle are closed after surplusIdleTimeout.
    std::size_t minimumIdle = std::numeric_limits<std::size_t>::max();
    std::chrono::milliseconds surplusIdleTimeout = std::chrono::hours(1);
};

struct ExchangeResult
{
    ExchangeStatus status = ExchangeStatus::NotSent;
    unsigned httpStatus = 0;
    std::vector<HttpHeader> headers{};
    std::string body;
    // Of the reply; kept until the reply has been passed on.
    std::shared_ptr<const ReplyReservation> reservation{};
    // Number of the connection that carried the exchange.
    std::uint64_t connection = 0;
    // True if the exchange opened a new connection.
    bool connected = false;
    // True if no process listened at the address.
    bool refused = false;
    // Further copies of the reply to the request before, which arrived ahead of the reply to this one.
    unsigned skippedReplies = 0;
    std::chrono::microseconds latency{0};
    // True if a newer connection to the server received a reply during the exchange, so the server isn't at fault.
    bool connectionAtFault = false;
};

// Cancels one exchange from any thread.
class ExchangeHandle
{
public:
    void cancel();
    bool cancelled() const;

private:
    friend class BackendClient;

    std::atomic<bool> cancelRequested{false};
    std::mutex mutex;
    std::function<void()> closeConnection;
};

struct BackendClientOptions
{
    // Opens an idle connection in place of one that a cancel closed, so that the next request needn't wait for the connect.
    bool reconnectAfterCancel = true;
    // Limit of all replies together, until they have been passed on.
    std::size_t replyMemoryBytes = std::size_t(32) * 1024 * 1024;
};

class BackendClient
{
public:
    explicit BackendClient(Asio::any_io_executor executor, BackendClientOptions options = {});
    ~BackendClient();

    Asio::awaitable<ExchangeResult> exchange(ExchangeRequest request, std::shared_ptr<ExchangeHandle> handle);

    // Closes idle connections to servers that aren't in the list.
    void retain(const std::vector<std::string> &addresses);
    // Closes connections whose idle timeout has passed.
    void closeIdle(TimePoint now);
    std::size_t idleConnections() const;
    // Memory of the replies that are being read or haven't been passed on yet.
    std::size_t replyBytes() const;
    // True if large replies may soon be refused.
    bool replyMemoryShort() const;

private:
    struct Connection;
    struct Server;

    std::shared_ptr<Server> serverFor(const std::string &address);
    Asio::awaitable<ExchangeResult> runExchange(std::shared_ptr<Server> server,
                                                std::shared_ptr<Connection> connection,
                                                ExchangeRequest request,
                                                std::shared_ptr<ExchangeHandle> handle);
    class ReplyBytes;
    using ReplyParser = Http::response_parser<Http::string_body>;
    // Reads one message, in parts, so that an endless one is noticed before it ends at a limit of the parser.
    static Asio::awaitable<Beast::error_code> readMessage(std::shared_ptr<Connection> connection, ReplyParser &parser, ReplyBytes &bytes);
    static Asio::awaitable<Beast::error_code> readMore(std::shared_ptr<Connection> connection, ReplyParser &parser, ReplyBytes &bytes);
    // Reads one final reply into the parser and skips interim ones.
    static Asio::awaitable<Beast::error_code> readReply(std::shared_ptr<Connection> connection,
                                                        const ExchangeRequest &request,
                                                        std::optional<ReplyParser> &parser,
                                                        ReplyReservation &reservation);
    // Reads until the reply to the request into the parser and the result, and skips copies of the reply before it.
    Asio::awaitable<Beast::error_code> readOwnReply(std::shared_ptr<Connection> connection,
                                                    const ExchangeRequest &request,
                                                    std::optional<ReplyParser> &parser,
                                                    ExchangeResult &result);

    static Asio::awaitable<void>
    openIdleConnection(std::shared_ptr<Server> server, std::shared_ptr<Connection> connection, std::string address);

    Asio::any_io_executor executor;
    BackendClientOptions options;
    std::shared_ptr<ReplyMemory> replyMemory;
    std::atomic<std::uint64_t> nextConnectionNumber{1};
    mutable std::shared_mutex mutex;
    std::map<std::string, std::shared_ptr<Server>> servers;
};

} // namespace Galenawell

// HTTP/1.1 client towards backend servers: keep-alive connections per server, one request at a time on each. A connection
// whose reply was given up is closed and never used for another request.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/transport/asio.h"
#include "galenawell/transport/httpheader.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

namespace Galenawell {

enum class ExchangeStatus : std::uint8_t {
    Completed,
    // The connection was refused or timed out before a byte of the request was sent: certainly not run.
    NotSent,
    // The connection ended after the first byte of the request.
    Lost,
    // No whole reply before the expiry.
    TimedOut,
    Cancelled,
};

struct ExchangeRequest
{
    // "IP:port".
    std::string address;
    std::string method = "POST";
    std::string target;
    // Besides Content-Length, Content-Type, and Host where the list has none.
    std::vector<HttpHeader> headers{};
    // Empty: none besides one in the list.
    std::string contentType = "application/json";
    std::string body;
    TimePoint expiry;
    // Limit of the connection attempt within the expiry.
    std::chrono::milliseconds connectTimeout = std::chrono::hours(1);
    std::size_t maximumReplyBytes = std::size_t(4) * 1024 * 1024;
    // A fresh connection can't have gone silent while idle, which matters where a lost reply can't be asked again.
    bool freshConnection = false;
    // Idle connections to the server that are kept; the others are closed after the second time without a request.
    std::size_t minimumIdle = std::numeric_limits<std::size_t>::max();
    std::chrono::milliseconds surplusIdleTimeout = std::chrono::hours(1);
};

struct ExchangeResult
{
    ExchangeStatus status = ExchangeStatus::NotSent;
    unsigned httpStatus = 0;
    std::vector<HttpHeader> headers{};
    std::string body;
    // True if the exchange made a new connection.
    bool connected = false;
    std::chrono::microseconds latency{0};
    // True if a newer connection to the server had a reply while this one made no progress.
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
    // Makes a warm connection in place of one that a cancel closed; the next request would else wait for the connect.
    bool reconnectAfterCancel = true;
};

class BackendClient
{
public:
    explicit BackendClient(Asio::any_io_executor executor, BackendClientOptions options = {});
    ~BackendClient();

    Asio::awaitable<ExchangeResult> exchange(ExchangeRequest request, std::shared_ptr<ExchangeHandle> handle);

    // Closes idle connections to servers that aren't in the list.
    void retain(const std::vector<std::string> &addresses);
    // Closes connections that were idle for longer than they are kept.
    void closeIdle(TimePoint now);
    std::size_t idleConnections() const;

private:
    struct Connection;
    struct Server;

    std::shared_ptr<Server> serverFor(const std::string &address);
    Asio::awaitable<ExchangeResult> run(std::shared_ptr<Server> server,
                                        std::shared_ptr<Connection> connection,
                                        ExchangeRequest request,
                                        std::shared_ptr<ExchangeHandle> handle);

    static Asio::awaitable<void> connectIdle(std::shared_ptr<Server> server, std::shared_ptr<Connection> connection, std::string address);

    Asio::any_io_executor executor;
    BackendClientOptions options;
    mutable std::shared_mutex mutex;
    std::map<std::string, std::shared_ptr<Server>> servers;
};

} // namespace Galenawell

#include "galenawell/transport/backendclient.h"

#include "galenawell/core/endpoint.h"
#include "galenawell/transport/framinglimit.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace Galenawell {

namespace {

constexpr std::chrono::seconds maximumIdleTime{30};
// Idle connections are closed before the server's keep-alive timeout, by this fraction (1/n) of it.
constexpr int keepAliveMarginDivisor = 4;
constexpr std::chrono::milliseconds reconnectTimeout{1000};
// Of the read buffer of a connection; larger than any header field or chunk header of a valid reply.
constexpr std::size_t maximumBufferedBytes = std::size_t(64) * 1024;
// A server that sends more copies of a reply is at fault.
constexpr unsigned maximumSkippedReplies = 4;
const Beast::error_code invalidReply = boost::system::errc::make_error_code(boost::system::errc::bad_message);

// The timeout parameter of a Keep-Alive header field.
std::optional<std::chrono::seconds> parseKeepAliveTimeout(std::string_view value)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t start = value.find(name);
    unsigned seconds = 0;
    if (start == std::string_view::npos
        || std::from_chars(value.data() + start + name.size(), value.data() + value.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

// Precedes the final reply to the same request. A change of the protocol (101) was not asked for, so it isn't one.
bool isInterim(unsigned status)
{
    constexpr unsigned switchingProtocols = 101;
    return status >= 100 && status < 200 && status != switchingProtocols;
}

// Any three digits can be parsed as a status, but not any of them is one.
bool isFinalStatus(unsigned status)
{
    return status >= 200 && status <= 599;
}

// A body in any other coding than chunks isn't the server's body as it stands.
bool hasOtherTransferCoding(const Http::fields &headers)
{
    const auto [first, last] = headers.equal_range(Http::field::transfer_encoding);
    return first != last && (std::next(first) != last || !Beast::iequals(first->value(), "chunked"));
}

bool exceedsLimit(const Beast::error_code &error)
{
    return error == Http::error::header_limit || error == Http::error::body_limit || error == Http::error::buffer_overflow;
}

const std::string &bodyOf(const ExchangeRequest &request)
{
    return request.shared != nullptr ? request.shared->body : request.body;
}

// Request line and headers. As text, since parsed fields would take many times as much while the request is sent.
std::string encodeHead(const ExchangeRequest &request)
{
    using Body = Http::span_body<const char>;
    Http::request<Body> message{Http::verb::unknown, request.target, 11};
    message.method_string(request.method);
    if (request.shared != nullptr) {
        for (const HttpHeader &header : request.shared->headers) {
            message.insert(header.name, header.value);
        }
    }
    for (const HttpHeader &header : request.headers) {
        message.insert(header.name, header.value);
    }
    if (message.find(Http::field::host) == message.end()) {
        message.set(Http::field::host, request.address);
    }
    if (!request.contentType.empty()) {
        message.set(Http::field::content_type, request.contentType);
    }
    message.body() = {bodyOf(request).data(), bodyOf(request).size()};
    message.prepare_payload();
    Http::request_serializer<Body> serializer(message);
    serializer.split(true);
    std::string head;
    Beast::error_code ignored;
    serializer.next(ignored, [&head](Beast::error_code &, const auto &buffers) { head = Beast::buffers_to_string(buffers); });
    return head;
}

} // namespace

void ExchangeHandle::cancel()
{
    this->cancelRequested = true;
    const std::lock_guard lock(this->mutex);
    if (this->closeConnection) {
        this->closeConnection();
    }
}

bool ExchangeHandle::cancelled() const
{
    return this->cancelRequested;
}

struct BackendClient::Connection
{
    Connection(const Asio::any_io_executor &executor, std::uint64_t connectionNumber)
        : stream(Asio::make_strand(executor))
        , number(connectionNumber)
    {
    }

    // True if the server closed or wrote to the idle connection; either rules out another request on it.
    bool stale()
    {
        char byte = 0;
        Beast::error_code error;
        this->stream.socket().native_non_blocking(true, error);
        const ssize_t received = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    Beast::tcp_stream stream;
    Beast::flat_buffer buffer{maximumBufferedBytes};
    void noteReply(const ExchangeResult &result, TimePoint now)
    {
        this->lastReply = now;
        if (const auto timeout = parseKeepAliveTimeout(findHeader(result.headers, "Keep-Alive"))) {
            const std::chrono::milliseconds keepAlive = *timeout;
            this->idleTimeout = std::min<std::chrono::milliseconds>(maximumIdleTime, keepAlive - keepAlive / keepAliveMarginDivisor);
        }
    }

    // Higher than those of the connections that were opened before.
    const std::uint64_t number;
    bool established = false;
    // Exchanges on this connection so far, so that a late cancel can't close it under the next one.
    std::uint64_t exchangeCount = 0;
    // Of the last complete exchange; a copy of its reply may arrive later.
    std::string previousId;
    TimePoint lastReply;
    // Shorter than the server's keep-alive timeout, so that the server doesn't close it while a request is sent.
    std::chrono::milliseconds idleTimeout{maximumIdleTime};
};

struct BackendClient::Server
{
    // The most recently used idle connection that isn't in the history, if there is one; else nullptr.
    std::shared_ptr<Connection> takeIdle(const ConnectionHistory *history, TimePoint now)
    {
        const std::lock_guard lock(this->mutex);
        for (std::size_t index = this->idle.size(); index-- > 0;) {
            if (history != nullptr && history->contains(this->idle[index]->number)) {
                continue;
            }
            std::shared_ptr<Connection> connection = std::move(this->idle[index]);
            this->idle.erase(this->idle.begin() + static_cast<std::ptrdiff_t>(index));
            if (now - connection->lastReply < connection->idleTimeout && !connection->stale()) {
                return connection;
            }
        }
        if (history != nullptr && this->idle.size() >= this->minimumIdle) {
            this->closeCarried(*history);
        }
        return nullptr;
    }

    // Servers reset connections beyond their limit, so the new connection of a repetition replaces one that it can't use.
    void closeCarried(const ConnectionHistory &history)
    {
        const auto carried = std::ranges::find_if(
            this->idle, [&history](const std::shared_ptr<Connection> &connection) { return history.contains(connection->number); });
        if (carried != this->idle.end()) {
            this->idle.erase(carried);
        }
    }

    void noteReply(std::uint64_t connectionNumber, TimePoint now)
    {
        if (connectionNumber >= this->newestRepliedNumber) {
            this->newestRepliedNumber = connectionNumber;
            this->newestReplyTime = now.time_since_epoch().count();
        }
    }

    void putIdle(std::shared_ptr<Connection> connection)
    {
        const std::lock_guard lock(this->mutex);
        this->idle.push_back(std::move(connection));
    }

    void closeIdle(TimePoint now)
    {
        const std::lock_guard lock(this->mutex);
        // Surplus connections are the least recently used ones, at the front.
        const std::size_t surplus = this->idle.size() - std::min(this->idle.size(), this->minimumIdle.load());
        std::size_t index = 0;
        std::erase_if(this->idle, [&](const std::shared_ptr<Connection> &connection) {
            const std::chrono::milliseconds timeout = index++ < surplus ? this->surplusIdleTimeout.load() : connection->idleTimeout;
            return now - connection->lastReply >= timeout;
        });
    }

    // Closes idle connections without a reply since the time: they may be broken like the one that timed out.
    void closeIdleWithoutReplySince(TimePoint time)
    {
        const std::lock_guard lock(this->mutex);
        std::erase_if(this->idle, [&](const std::shared_ptr<Connection> &connection) { return connection->lastReply < time; });
    }

    std::mutex mutex;
    // Least recently used first.
    std::vector<std::shared_ptr<Connection>> idle;
    // From the latest request.
    std::atomic<std::size_t> minimumIdle{std::numeric_limits<std::size_t>::max()};
    std::atomic<std::chrono::milliseconds> surplusIdleTimeout{std::chrono::hours(1)};
    // Highest number of a connection that received a reply, and the time of its last reply.
    std::atomic<std::uint64_t> newestRepliedNumber{0};
    std::atomic<std::int64_t> newestReplyTime{0};
};

// Counts the bytes of one reply, interim replies included.
class BackendClient::ReplyBytes
{
public:
    explicit ReplyBytes(ReplyReservation &replyReservation)
        : reservation(replyReservation)
    {
    }

    void add(std::size_t count)
    {
        this->received += count;
        this->reserved = this->reservation.grow(count);
    }

    // The limit of the body itself is the parser's.
    bool withinLimits(std::size_t bodyBytes) const
    {
        return this->reserved && framingWithinLimit(this->received, bodyBytes);
    }

private:
    ReplyReservation &reservation;
    std::size_t received = 0;
    bool reserved = true;
};

BackendClient::BackendClient(Asio::any_io_executor ioExecutor, BackendClientOptions clientOptions)
    : executor(std::move(ioExecutor))
    , options(clientOptions)
    , replyMemory(std::make_shared<ReplyMemory>(clientOptions.replyMemoryBytes))
{
}

BackendClient::~BackendClient() = default;

std::shared_ptr<BackendClient::Server> BackendClient::serverFor(const std::string &address)
{
    {
        const std::shared_lock lock(this->mutex);
        const auto found = this->servers.find(address);
        if (found != this->servers.end()) {
            return found->second;
        }
    }
    const std::unique_lock lock(this->mutex);
    std::shared_ptr<Server> &server = this->servers[address];
    if (server == nullptr) {
        server = std::make_shared<Server>();
    }
    return server;
}

void BackendClient::retain(const std::vector<std::string> &addresses)
{
    const std::set<std::string> kept(addresses.begin(), addresses.end());
    const std::unique_lock lock(this->mutex);
    std::erase_if(this->servers, [&](const auto &entry) { return !kept.contains(entry.first); });
}

void BackendClient::closeIdle(TimePoint now)
{
    const std::shared_lock lock(this->mutex);
    for (const auto &[address, server] : this->servers) {
        server->closeIdle(now);
    }
}

std::size_t BackendClient::idleConnections() const
{
    const std::shared_lock lock(this->mutex);
    std::size_t count = 0;
    for (const auto &[address, server] : this->servers) {
        const std::lock_guard serverLock(server->mutex);
        count += server->idle.size();
    }
    return count;
}

std::size_t BackendClient::replyBytes() const
{
    return this->replyMemory->used();
}

bool BackendClient::replyMemoryShort() const
{
    // A quarter of the memory is left.
    return this->replyMemory->used() > this->options.replyMemoryBytes - this->options.replyMemoryBytes / 4;
}

Asio::awaitable<ExchangeResult> BackendClient::exchange(ExchangeRequest request, std::shared_ptr<ExchangeHandle> handle)
{
    const std::string address = request.address;
    std::shared_ptr<Server> server = this->serverFor(address);
    server->minimumIdle = request.minimumIdle;
    server->surplusIdleTimeout = request.surplusIdleTimeout;
    std::shared_ptr<Connection> connection;
    if (!request.freshConnection) {
        connection = server->takeIdle(request.history.get(), MonotonicClock::now());
    }
    if (connection == nullptr) {
        connection = std::make_shared<Connection>(this->executor, this->nextConnectionNumber++);
    }
    if (request.history != nullptr) {
        request.history->add(connection->number);
    }
    const std::uint64_t exchangeNumber = ++connection->exchangeCount;
    {
        const std::lock_guard lock(handle->mutex);
        handle->closeConnection = [connection, exchangeNumber] {
            Asio::post(connection->stream.get_executor(), [connection, exchangeNumber] {
                if (connection->exchangeCount == exchangeNumber) {
                    connection->stream.close();
                }
            });
        };
    }
    ExchangeResult result = co_await Asio::co_spawn(
        connection->stream.get_executor(), this->runExchange(server, connection, std::move(request), handle), Asio::use_awaitable);
    const bool reconnect = this->options.reconnectAfterCancel && result.status == ExchangeStatus::Cancelled && connection->established;
    if (reconnect) {
        auto replacement = std::make_shared<Connection>(this->executor, this->nextConnectionNumber++);
        Asio::co_spawn(
            replacement->stream.get_executor(),
            [server, replacement, address] { return openIdleConnection(server, replacement, address); },
            Asio::detached);
    }
    const std::lock_guard lock(handle->mutex);
    handle->closeConnection = nullptr;
    co_return result;
}

Asio::awaitable<void>
BackendClient::openIdleConnection(std::shared_ptr<Server> server, std::shared_ptr<Connection> connection, std::string address)
{
    const std::optional<Tcp::endpoint> endpoint = parseEndpoint(address);
    if (!endpoint) {
        co_return;
    }
    connection->stream.expires_after(reconnectTimeout);
    auto [error] = co_await connection->stream.async_connect(*endpoint, awaitResult);
    if (error) {
        co_return;
    }
    connection->stream.socket().set_option(Tcp::no_delay(true));
    connection->established = true;
    connection->lastReply = MonotonicClock::now();
    server->putIdle(std::move(connection));
}

// Doesn't use Http::async_read_some, which goes on reading while the last bytes received are an incomplete part of the framing,
// so that a server can keep it from returning without end.
Asio::awaitable<Beast::error_code>
BackendClient::readMessage(std::shared_ptr<Connection> connection, ReplyParser &parser, ReplyBytes &bytes)
{
    while (!parser.is_done()) {
        Beast::error_code error = Http::error::need_more;
        if (connection->buffer.size() > 0) {
            connection->buffer.consume(parser.put(connection->buffer.data(), error));
        }
        if (!bytes.withinLimits(parser.get().body().size())) {
            co_return Beast::error_code(Http::error::body_limit);
        }
        if (error == Http::error::need_more) {
            error = co_await readMore(connection, parser, bytes);
        }
        if (error) {
            co_return error;
        }
    }
    co_return Beast::error_code();
}

Asio::awaitable<Beast::error_code> BackendClient::readMore(std::shared_ptr<Connection> connection, ReplyParser &parser, ReplyBytes &bytes)
{
    const std::size_t size = Beast::read_size(connection->buffer, maximumBufferedBytes);
    if (size == 0) {
        co_return Beast::error_code(Http::error::buffer_overflow);
    }
    auto [error, received] = co_await connection->stream.async_read_some(connection->buffer.prepare(size), awaitResult);
    connection->buffer.commit(received);
    bytes.add(received);
    if (error == Asio::error::eof) {
        error = Http::error::end_of_stream;
        if (parser.got_some()) {
            error.clear();
            parser.put_eof(error);
        }
    }
    co_return error;
}

Asio::awaitable<Beast::error_code> BackendClient::readReply(std::shared_ptr<Connection> connection,
                                                            const ExchangeRequest &request,
                                                            std::optional<ReplyParser> &parser,
                                                            ReplyReservation &reservation)
{
    ReplyBytes bytes(reservation);
    bytes.add(connection->buffer.size());
    do {
        parser.emplace();
        parser->header_limit(request.maximumReplyHeaderBytes);
        parser->body_limit(request.maximumReplyBytes);
        parser->eager(true);
        const Beast::error_code error = co_await readMessage(connection, *parser, bytes);
        if (error) {
            co_return error;
        }
    } while (isInterim(parser->get().result_int()));
    co_return Beast::error_code();
}

Asio::awaitable<Beast::error_code> BackendClient::readOwnReply(std::shared_ptr<Connection> connection,
                                                               const ExchangeRequest &request,
                                                               std::optional<ReplyParser> &parser,
                                                               ExchangeResult &result)
{
    while (true) {
        const auto reservation = std::make_shared<ReplyReservation>(this->replyMemory);
        const Beast::error_code error = co_await readReply(connection, request, parser, *reservation);
        if (error) {
            co_return error;
        }
        if (!isFinalStatus(parser->get().result_int()) || hasOtherTransferCoding(parser->get())) {
            co_return invalidReply;
        }
        ExchangeResult reply;
        reply.httpStatus = parser->get().result_int();
        reply.headers = copyHeaders(parser->get());
        reply.body = std::move(parser->get().body());
        const std::string id = request.readId ? request.readId(reply) : request.id;
        if (id == request.id) {
            result.httpStatus = reply.httpStatus;
            result.headers = std::move(reply.headers);
            result.body = std::move(reply.body);
            result.reservation = reservation;
            co_return Beast::error_code();
        }
        if (id.empty() || id != connection->previousId || result.skippedReplies == maximumSkippedReplies) {
            co_return invalidReply;
        }
        ++result.skippedReplies;
    }
}

Asio::awaitable<ExchangeResult> BackendClient::runExchange(std::shared_ptr<Server> server,
                                                           std::shared_ptr<Connection> connection,
                                                           ExchangeRequest request,
                                                           std::shared_ptr<ExchangeHandle> handle)
{
    ExchangeResult result;
    result.connection = connection->number;
    const TimePoint startedAt = MonotonicClock::now();
    Beast::tcp_stream &stream = connection->stream;
    stream.expires_at(request.expiry);
    if (handle->cancelled()) {
        result.status = ExchangeStatus::Cancelled;
        co_return result;
    }
    if (!connection->established) {
        const std::optional<Tcp::endpoint> endpoint = parseEndpoint(request.address);
        if (!endpoint) {
            co_return result;
        }
        stream.expires_at(std::min<TimePoint>(request.expiry, startedAt + request.connectTimeout));
        auto [connectError] = co_await stream.async_connect(*endpoint, awaitResult);
        stream.expires_at(request.expiry);
        result.connected = true;
        if (connectError) {
            result.refused = connectError == Asio::error::connection_refused;
            result.status = handle->cancelled() ? ExchangeStatus::Cancelled : ExchangeStatus::NotSent;
            co_return result;
        }
        Beast::error_code ignored;
        stream.socket().set_option(Tcp::no_delay(true), ignored);
        connection->established = true;
    }
    std::string head = encodeHead(request);
    const std::array<Asio::const_buffer, 2> message{Asio::buffer(head), Asio::buffer(bodyOf(request))};
    auto [writeError, written] = co_await Asio::async_write(stream, message, awaitResult);
    head = std::string();
    if (writeError && written == 0) {
        // No byte was sent, so the server can't have run the request.
        result.status = handle->cancelled() ? ExchangeStatus::Cancelled : ExchangeStatus::NotSent;
        co_return result;
    }
    std::optional<ReplyParser> parser;
    Beast::error_code readError = writeError;
    if (!readError) {
        readError = co_await this->readOwnReply(connection, request, parser, result);
    }
    const TimePoint now = MonotonicClock::now();
    result.latency = std::chrono::duration_cast<std::chrono::microseconds>(now - startedAt);
    if (readError == invalidReply) {
        result.status = handle->cancelled() ? ExchangeStatus::Cancelled : ExchangeStatus::InvalidReply;
        stream.close();
        co_return result;
    }
    if (readError) {
        const bool timedOut = readError == Beast::error::timeout;
        result.status = timedOut ? ExchangeStatus::TimedOut : ExchangeStatus::Lost;
        if (exceedsLimit(readError)) {
            result.status = ExchangeStatus::TooLarge;
        }
        if (handle->cancelled()) {
            result.status = ExchangeStatus::Cancelled;
        }
        const bool newerConnectionReplied
            = server->newestRepliedNumber > connection->number && server->newestReplyTime >= startedAt.time_since_epoch().count();
        result.connectionAtFault = newerConnectionReplied;
        if (timedOut) {
            server->closeIdleWithoutReplySince(startedAt);
        }
        stream.close();
        co_return result;
    }
    // A cancel from here on must not close the connection.
    ++connection->exchangeCount;
    result.status = ExchangeStatus::Completed;
    connection->previousId = std::move(request.id);
    connection->noteReply(result, now);
    server->noteReply(connection->number, now);
    // Fresh connections aren't kept: requests that require one never reuse it, so it would occupy a connection of the server.
    const bool reusable = parser->get().keep_alive() && connection->buffer.size() == 0 && !handle->cancelled();
    if (reusable && !request.freshConnection) {
        server->putIdle(connection);
    } else {
        stream.close();
    }
    co_return result;
}

} // namespace Galenawell

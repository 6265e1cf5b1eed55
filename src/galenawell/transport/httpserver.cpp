#include "galenawell/transport/httpserver.h"

#include <array>
#include <charconv>
#include <utility>

namespace Galenawell {

namespace {

constexpr std::chrono::milliseconds acceptRetryDelay{50};
constexpr std::chrono::milliseconds writeTimeout{10000};
// Size of one read while a request is handled.
constexpr std::size_t pipelinedReadBytes = 4096;
constexpr std::size_t maximumBufferedBytes = std::size_t(256) * 1024;

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned code = 0;
        const bool escaped = text[index] == '%' && index + 2 < text.size();
        if (escaped && std::from_chars(text.data() + index + 1, text.data() + index + 3, code, 16).ptr == text.data() + index + 3) {
            decoded += static_cast<char>(code);
            index += 2;
        } else {
            decoded += text[index] == '+' ? ' ' : text[index];
        }
    }
    return decoded;
}

std::optional<RefusalReason> refusalFor(Beast::error_code error)
{
    if (error == Http::error::header_limit || error == Http::error::body_limit || error == Http::error::buffer_overflow) {
        return RefusalReason::RequestTooLarge;
    }
    if (error == Beast::error::timeout) {
        return RefusalReason::SenderTooSlow;
    }
    if (error.category() == Http::make_error_code(Http::error::bad_method).category() && error != Http::error::end_of_stream
        && error != Http::error::partial_message) {
        return RefusalReason::MalformedRequest;
    }
    return std::nullopt;
}

HttpRequest toRequest(Http::request<Http::string_body> &&message)
{
    static constexpr std::string_view bearerPrefix = "Bearer ";
    HttpRequest request;
    request.method = std::string(message.method_string());
    parseTarget(std::string_view(message.target().data(), message.target().size()), request);
    const std::string_view authorization(message[Http::field::authorization].data(), message[Http::field::authorization].size());
    if (authorization.starts_with(bearerPrefix)) {
        request.bearerToken = std::string(authorization.substr(bearerPrefix.size()));
    }
    request.target = std::string(message.target());
    request.headers = copyHeaders(message);
    request.receivedAt = MonotonicClock::now();
    request.body = std::move(message.body());
    return request;
}

constexpr unsigned statusMethodNotAllowed = 405;

std::string retryAfterText(std::chrono::milliseconds wait, bool fractional)
{
    constexpr std::int64_t milli = 1000;
    if (!fractional) {
        return std::to_string((wait.count() + milli - 1) / milli);
    }
    const std::string thousandths = std::to_string(milli + wait.count() % milli).substr(1);
    return std::to_string(wait.count() / milli) + "." + thousandths;
}

} // namespace

bool CallerConnection::closed() const
{
    return this->isClosed;
}

void CallerConnection::onClose(std::function<void()> callback)
{
    if (this->isClosed && callback) {
        callback();
        return;
    }
    this->closeCallback = std::move(callback);
}

void CallerConnection::notifyClosed()
{
    if (std::exchange(this->isClosed, true)) {
        return;
    }
    if (const auto callback = std::exchange(this->closeCallback, nullptr)) {
        callback();
    }
}

std::string_view HttpRequest::header(std::string_view name) const
{
    return findHeader(this->headers, name);
}

void parseTarget(std::string_view target, HttpRequest &request)
{
    const std::size_t queryStart = target.find('?');
    request.path = std::string(target.substr(0, queryStart));
    if (queryStart == std::string_view::npos) {
        return;
    }
    std::string_view rest = target.substr(queryStart + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        const std::string value = equals == std::string_view::npos ? std::string() : decodePercent(pair.substr(equals + 1));
        request.parameters[decodePercent(pair.substr(0, equals))] = value;
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
}

struct HttpServer::Connection
{
    explicit Connection(Tcp::socket &&socket)
        : stream(std::move(socket))
    {
    }

    Beast::tcp_stream stream;
    // Large enough for a pipelined request with its headers.
    Beast::flat_buffer buffer{maximumBufferedBytes};
    // False between two requests, when the connection may be closed.
    std::atomic<bool> busy{false};
    // Set when requestReadTimeout ends a request; the stream's own timeout would close the socket before the refusal.
    bool readTimedOut = false;
    // Number of the pending read of a request; 0 if there is none.
    std::uint64_t currentRead = 0;
    std::uint64_t readCount = 0;
    // Set while watchCaller() waits for the caller to close the connection.
    bool watchingCaller = false;
};

HttpServer::HttpServer(Asio::any_io_executor ioExecutor,
                       HttpServerOptions serverOptions,
                       Handler requestHandler,
                       RefusalHandler refusalHandler)
    : executor(std::move(ioExecutor))
    , options(std::move(serverOptions))
    , handler(std::move(requestHandler))
    , makeRefusal(std::move(refusalHandler))
    , acceptor(Asio::make_strand(this->executor))
    , limits(std::make_shared<const HttpLimits>(this->options.limits))
{
}

void HttpServer::setLimits(const HttpLimits &newLimits)
{
    this->limits.store(std::make_shared<const HttpLimits>(newLimits));
}

void HttpServer::disableKeepAlive()
{
    this->keepAliveDisabled = true;
}

void HttpServer::start()
{
    this->acceptor.open(this->options.address.protocol());
    this->acceptor.set_option(Asio::socket_base::reuse_address(true));
    this->acceptor.bind(this->options.address);
    this->acceptor.listen();
    Asio::co_spawn(
        this->acceptor.get_executor(), [self = this->shared_from_this()] { return self->acceptLoop(); }, Asio::detached);
}

void HttpServer::stop()
{
    this->stopping = true;
    Asio::post(this->acceptor.get_executor(), [self = this->shared_from_this()] {
        Beast::error_code ignored;
        self->acceptor.close(ignored);
    });
    this->closeIdle();
}

std::size_t HttpServer::inFlight() const
{
    return this->requestsInFlight;
}

std::size_t HttpServer::connectionCount() const
{
    return this->openConnections;
}

Tcp::endpoint HttpServer::address() const
{
    return this->acceptor.local_endpoint();
}

void HttpServer::closeIdle()
{
    const std::lock_guard lock(this->connectionsMutex);
    for (auto &[pointer, weak] : this->connections) {
        const std::shared_ptr<Connection> connection = weak.lock();
        if (connection == nullptr) {
            continue;
        }
        Asio::post(connection->stream.get_executor(), [connection] {
            if (!connection->busy) {
                connection->stream.cancel();
            }
        });
    }
}

Asio::awaitable<void> HttpServer::acceptLoop()
{
    while (!this->stopping) {
        auto [error, socket] = co_await this->acceptor.async_accept(Asio::make_strand(this->executor), awaitResult);
        if (error == Asio::error::operation_aborted || this->stopping) {
            co_return;
        }
        if (error) {
            // Usually out of file descriptors; the delay lets connections close.
            Asio::steady_timer pause(this->acceptor.get_executor(), acceptRetryDelay);
            co_await pause.async_wait(awaitResult);
            continue;
        }
        auto connection = std::make_shared<Connection>(std::move(socket));
        Asio::co_spawn(
            connection->stream.get_executor(),
            [self = this->shared_from_this(), connection] { return self->serve(connection); },
            Asio::detached);
    }
}

Asio::awaitable<void> HttpServer::serve(std::shared_ptr<Connection> connection)
{
    const std::size_t count = ++this->openConnections;
    connection->stream.socket().set_option(Tcp::no_delay(true));
    if (count > this->options.maximumConnections) {
        const HttpResponse response = this->makeRefusal(RefusalReason::TooManyConnections, "the listener has no free connection");
        co_await this->respond(*connection, response, 11, false);
    } else {
        {
            const std::lock_guard lock(this->connectionsMutex);
            this->connections.emplace(connection.get(), connection);
        }
        while (co_await this->serveRequest(connection)) {
        }
        const std::lock_guard lock(this->connectionsMutex);
        this->connections.erase(connection.get());
    }
    Beast::error_code ignored;
    connection->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    --this->openConnections;
}

Asio::awaitable<Beast::error_code> HttpServer::readRequest(std::shared_ptr<Connection> connection, RequestParser &parser)
{
    connection->stream.expires_never();
    connection->currentRead = ++connection->readCount;
    Asio::steady_timer timer(connection->stream.get_executor(), this->limits.load()->requestReadTimeout);
    timer.async_wait([connection, number = connection->currentRead](const Beast::error_code &error) {
        if (error || connection->currentRead != number) {
            return;
        }
        connection->readTimedOut = true;
        Beast::error_code ignored;
        // Ends later reads too, in case the pending one has just completed.
        connection->stream.socket().shutdown(Tcp::socket::shutdown_receive, ignored);
        connection->stream.cancel();
    });
    auto [error, ignoredBytes] = co_await Http::async_read(connection->stream, connection->buffer, parser, awaitResult);
    connection->currentRead = 0;
    if (error && connection->readTimedOut) {
        co_return Beast::error_code(Beast::error::timeout);
    }
    co_return error;
}

Asio::awaitable<HttpResponse> HttpServer::handle(HttpRequest request)
{
    if (request.method == "HEAD") {
        // A server's reply to it has no body whatever its length says, which the way to the servers doesn't know.
        HttpResponse response = this->makeRefusal(RefusalReason::MalformedRequest, "HEAD isn't served");
        response.status = statusMethodNotAllowed;
        response.headers.push_back({.name = "Allow", .value = "GET, POST, PUT, PATCH, DELETE"});
        response.body.clear();
        co_return response;
    }
    try {
        co_return co_await this->handler(std::move(request));
    } catch (const std::exception &) {
        // An exception that escaped the coroutine would keep the request counted as in flight, so shutdown would wait for it.
    }
    co_return HttpResponse{.status = 500, .body = R"({"execution":"unknown","reason":"internal error"})"};
}

Asio::awaitable<void> HttpServer::watchCaller(std::shared_ptr<Connection> connection, std::shared_ptr<CallerConnection> caller)
{
    Tcp::socket &socket = connection->stream.socket();
    while (connection->watchingCaller) {
        auto [error] = co_await socket.async_wait(Tcp::socket::wait_read, awaitResult);
        if (!connection->watchingCaller) {
            co_return;
        }
        const std::size_t available = connection->buffer.max_size() - connection->buffer.size();
        if (error || available < pipelinedReadBytes) {
            co_return;
        }
        Beast::error_code readError;
        socket.non_blocking(true, readError);
        const std::size_t received = socket.read_some(connection->buffer.prepare(pipelinedReadBytes), readError);
        connection->buffer.commit(received);
        if (readError && readError != Asio::error::would_block) {
            caller->notifyClosed();
            co_return;
        }
    }
}

Asio::awaitable<bool> HttpServer::serveRequest(std::shared_ptr<Connection> sharedConnection)
{
    Connection &connection = *sharedConnection;
    const std::shared_ptr<const HttpLimits> currentLimits = this->limits.load();
    RequestParser parser;
    parser.header_limit(currentLimits->maximumHeaderBytes);
    parser.body_limit(currentLimits->maximumBodyBytes);
    if (connection.buffer.size() == 0) {
        // Waits for the first byte under idleTimeout, so that requestReadTimeout covers one request only.
        connection.stream.expires_after(currentLimits->idleTimeout);
        auto [waitError, received] = co_await connection.stream.async_read_some(connection.buffer.prepare(4096), awaitResult);
        if (waitError) {
            co_return false;
        }
        connection.buffer.commit(received);
    }
    connection.busy = true;
    ++this->requestsInFlight;
    const Beast::error_code readError = co_await this->readRequest(sharedConnection, parser);
    bool keepAlive = false;
    if (readError) {
        if (const std::optional<RefusalReason> reason = refusalFor(readError)) {
            const HttpResponse response = this->makeRefusal(*reason, readError.message());
            co_await this->respond(connection, response, 11, false);
        }
    } else {
        const unsigned version = parser.get().version();
        keepAlive = parser.get().keep_alive() && !this->stopping;
        // The handler has its own time limits; the stream's timeout would abort a slow response.
        connection.stream.expires_never();
        HttpRequest request = toRequest(parser.release());
        request.caller = std::make_shared<CallerConnection>();
        const std::shared_ptr<CallerConnection> caller = request.caller;
        connection.watchingCaller = true;
        Asio::co_spawn(
            connection.stream.get_executor(),
            [self = this->shared_from_this(), sharedConnection, caller] { return self->watchCaller(sharedConnection, caller); },
            Asio::detached);
        const HttpResponse response = co_await this->handle(std::move(request));
        connection.watchingCaller = false;
        Beast::error_code ignored;
        connection.stream.socket().cancel(ignored);
        keepAlive = keepAlive && !this->stopping && !this->keepAliveDisabled && !response.close;
        if (caller->closed()) {
            keepAlive = false;
        } else {
            co_await this->respond(connection, response, version, keepAlive);
        }
    }
    --this->requestsInFlight;
    connection.busy = false;
    co_return keepAlive &&connection.stream.socket().is_open();
}

Asio::awaitable<void> HttpServer::respond(Connection &connection, const HttpResponse &response, unsigned version, bool keepAlive)
{
    Http::response<Http::string_body> message{static_cast<Http::status>(response.status), version};
    if (!response.contentType.empty()) {
        message.set(Http::field::content_type, response.contentType);
    }
    if (response.retryAfter) {
        message.set(Http::field::retry_after, retryAfterText(*response.retryAfter, this->options.fractionalRetryAfter));
    }
    for (const HttpHeader &header : response.headers) {
        message.insert(header.name, header.value);
    }
    message.body() = response.body;
    message.keep_alive(keepAlive);
    message.prepare_payload();
    connection.stream.expires_after(writeTimeout);
    co_await Http::async_write(connection.stream, message, awaitResult);
}

} // namespace Galenawell

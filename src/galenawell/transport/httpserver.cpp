#include "galenawell/transport/httpconnection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace Galenawell {

namespace {

constexpr std::chrono::milliseconds acceptRetryDelay{50};
constexpr std::chrono::milliseconds writeTimeout{10000};
// Size of the read for the first bytes of a request, and of one read while a request is handled.
constexpr std::size_t firstReadBytes = 4096;
// Bytes of later requests that are taken while a request is handled; more wait unread.
constexpr std::size_t maximumPipelinedBytes = std::size_t(16) * 1024;
// Of each connection, which bounds what arrives and isn't read yet.
constexpr int receiveBufferBytes = 32 * 1024;
// Of a refused request, what is read off so that the refusal isn't lost.
constexpr std::size_t maximumDiscardedBytes = std::size_t(512) * 1024;
constexpr std::chrono::milliseconds discardTimeout{1000};
// Refused connections may be as many as 1/n of the others while they are closed.
constexpr std::size_t closingShareDivisor = 8;
// A connection without a request that is younger than this may have one on the way.
constexpr std::chrono::milliseconds firstRequestTime{1000};
constexpr std::size_t defaultRequestMemoryBytes = std::size_t(20) * 1024 * 1024;

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
    , memory(this->options.memory != nullptr ? this->options.memory : std::make_shared<RequestMemory>(defaultRequestMemoryBytes))
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
    // Connections inherit it; set on a connection, it would come after its first bytes.
    this->acceptor.set_option(Asio::socket_base::receive_buffer_size(receiveBufferBytes));
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
            if (connection->phase == ConnectionPhase::Silent || connection->phase == ConnectionPhase::Idle) {
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

void HttpServer::closeStalledWriters()
{
    const std::lock_guard lock(this->connectionsMutex);
    const TimePoint now = MonotonicClock::now();
    for (auto &[pointer, weak] : this->connections) {
        const std::shared_ptr<Connection> connection = weak.lock();
        if (connection == nullptr || !connection->isStalledWriter(now)) {
            continue;
        }
        Asio::post(connection->stream.get_executor(), [connection] {
            // The caller may have read on, or sent its next request, in the meantime.
            if (connection->isStalledWriter(MonotonicClock::now())) {
                connection->abort();
            }
        });
    }
}

std::optional<HttpServer::ClosingRank> HttpServer::closingRankOf(const Connection &connection, TimePoint now)
{
    const Duration time = connection.timeInPhase(now);
    const ConnectionPhase phase = connection.phase;
    if (phase == ConnectionPhase::Handling || (phase == ConnectionPhase::Writing && !connection.isStalledWriter(now))) {
        return std::nullopt;
    }
    // One that has just been opened comes after the idle ones.
    const bool isNew = phase == ConnectionPhase::Silent && time < firstRequestTime;
    return ClosingRank{.phase = isNew ? ConnectionPhase::Reading : phase, .time = time};
}

bool HttpServer::makeRoom()
{
    const std::lock_guard lock(this->connectionsMutex);
    const TimePoint now = MonotonicClock::now();
    std::shared_ptr<Connection> chosen;
    std::optional<ClosingRank> first;
    for (auto &[pointer, weak] : this->connections) {
        const std::shared_ptr<Connection> connection = weak.lock();
        if (connection == nullptr || connection->replaced) {
            continue;
        }
        const std::optional<ClosingRank> rank = closingRankOf(*connection, now);
        if (rank && (!first || rank->isBefore(*first))) {
            first = rank;
            chosen = connection;
        }
    }
    if (chosen == nullptr) {
        return false;
    }
    chosen->replaced = true;
    Asio::post(chosen->stream.get_executor(), [chosen] {
        // Its request may have arrived whole in the meantime, and even be answered.
        if (closingRankOf(*chosen, MonotonicClock::now())) {
            chosen->abort();
        } else {
            chosen->replaced = false;
        }
    });
    return true;
}

Asio::awaitable<void> HttpServer::turnAway(std::shared_ptr<Connection> connection)
{
    const std::size_t closing = ++this->closingConnections;
    if (closing <= std::max<std::size_t>(this->options.maximumConnections / closingShareDivisor, 1)) {
        HttpResponse response = this->makeRefusal(RefusalReason::TooManyConnections, "the listener has no free connection");
        if (co_await this->respond(connection, std::move(response), 11, false)) {
            co_await this->discardUnread(connection);
        }
    }
    --this->closingConnections;
}

Asio::awaitable<void> HttpServer::serve(std::shared_ptr<Connection> connection)
{
    const std::size_t count = ++this->openConnections;
    Beast::error_code ignored;
    connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
    if (count > this->options.maximumConnections && !this->makeRoom()) {
        co_await this->turnAway(connection);
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
    connection->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    --this->openConnections;
}

std::shared_ptr<RequestMemoryHolder> HttpServer::makeHolder(const std::shared_ptr<Connection> &connection)
{
    const auto onStrand = [connection](void (*action)(Connection &)) {
        return [weak = std::weak_ptr(connection), action, number = connection->requestNumber] {
            if (const std::shared_ptr<Connection> current = weak.lock()) {
                Asio::post(current->stream.get_executor(), [current, action, number] {
                    if (current->requestNumber == number) {
                        action(*current);
                    }
                });
            }
        };
    };
    const auto end = [](Connection &current) {
        if (current.phase == ConnectionPhase::Writing) {
            current.abort();
        } else if (current.phase == ConnectionPhase::Reading) {
            current.outOfMemory = true;
            current.stream.cancel();
            if (current.memoryWait) {
                current.memoryWait->cancel();
            }
        }
    };
    const auto wake = [](Connection &current) {
        if (current.memoryWait) {
            current.memoryWait->cancel();
        }
    };
    return std::make_shared<RequestMemoryHolder>(
        this->memory, RequestMemoryHolder::Callbacks{.end = onStrand(end), .wake = onStrand(wake)}, MonotonicClock::now());
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
        if (error || connection->buffer.size() + firstReadBytes > maximumPipelinedBytes) {
            co_return;
        }
        Beast::error_code readError;
        socket.non_blocking(true, readError);
        const std::size_t received = socket.read_some(connection->buffer.prepare(firstReadBytes), readError);
        connection->buffer.commit(received);
        if (readError && readError != Asio::error::would_block) {
            caller->notifyClosed();
            co_return;
        }
    }
}

// Waits under idleTimeout, so that requestReadTimeout covers one request only.
Asio::awaitable<bool> HttpServer::waitForRequest(std::shared_ptr<Connection> connection)
{
    if (connection->buffer.size() > 0) {
        co_return true;
    }
    // Of an earlier request; idle connections hold no more than they need.
    connection->buffer.shrink_to_fit();
    connection->stream.expires_after(this->limits.load()->idleTimeout);
    auto [error, received] = co_await connection->stream.async_read_some(connection->buffer.prepare(firstReadBytes), awaitResult);
    connection->buffer.commit(received);
    co_return !error && !connection->aborted;
}

Asio::awaitable<bool> HttpServer::serveRequest(std::shared_ptr<Connection> connection)
{
    if (!co_await this->waitForRequest(connection)) {
        co_return false;
    }
    connection->enter(ConnectionPhase::Reading);
    ++connection->requestNumber;
    ++this->requestsInFlight;
    std::optional<RequestRead> read;
    read.emplace();
    read->limits = this->limits.load();
    read->memory = this->makeHolder(connection);
    const ReadOutcome outcome = co_await this->readRequest(connection, *read);
    bool keepAlive = false;
    bool refused = false;
    if (outcome == ReadOutcome::Complete) {
        keepAlive = co_await this->handleRequest(connection, *read);
    } else if (!connection->aborted) {
        // What the request held is free before its refusal is written, which may take a while.
        read.reset();
        refused = co_await this->refuse(connection, outcome);
    }
    --this->requestsInFlight;
    if (refused) {
        co_await this->discardUnread(connection);
    }
    if (keepAlive) {
        connection->enter(ConnectionPhase::Idle);
    }
    co_return keepAlive && connection->stream.socket().is_open();
}

Asio::awaitable<bool> HttpServer::handleRequest(std::shared_ptr<Connection> connection, RequestRead &read)
{
    const unsigned version = read.parser.get().version();
    bool keepAlive = read.parser.get().keep_alive() && !this->stopping;
    // The handler has its own time limits; the stream's timeout would abort a slow response.
    connection->stream.expires_never();
    connection->enter(ConnectionPhase::Handling);
    HttpRequest request = toRequest(read.parser.release());
    request.caller = std::make_shared<CallerConnection>();
    request.memory = read.memory;
    const std::shared_ptr<CallerConnection> caller = request.caller;
    connection->watchingCaller = true;
    Asio::co_spawn(
        connection->stream.get_executor(),
        [self = this->shared_from_this(), connection, caller] { return self->watchCaller(connection, caller); },
        Asio::detached);
    HttpResponse response = co_await this->handle(std::move(request));
    connection->watchingCaller = false;
    Beast::error_code ignored;
    connection->stream.socket().cancel(ignored);
    keepAlive = keepAlive && !this->stopping && !this->keepAliveDisabled && !response.close;
    if (caller->closed()) {
        co_return false;
    }
    connection->enter(ConnectionPhase::Writing);
    read.memory->setWriting(MonotonicClock::now() + stalledWriteTime);
    const bool written = co_await this->respond(connection, std::move(response), version, keepAlive);
    // The caller of a request that can't be answered is gone; what it sent after it isn't served either.
    co_return keepAlive &&written;
}

Asio::awaitable<bool> HttpServer::refuse(std::shared_ptr<Connection> connection, ReadOutcome outcome)
{
    struct Reason
    {
        RefusalReason reason;
        const char *detail;
    };
    static constexpr std::array<std::pair<ReadOutcome, Reason>, 4> reasons{{
        {ReadOutcome::TimedOut, {RefusalReason::SenderTooSlow, "the request did not arrive in time"}},
        {ReadOutcome::TooLarge, {RefusalReason::RequestTooLarge, "the request exceeds a limit"}},
        {ReadOutcome::Malformed, {RefusalReason::MalformedRequest, "the request can't be read"}},
        {ReadOutcome::OutOfMemory, {RefusalReason::OutOfRequestMemory, "the requests of all callers hold too much memory"}},
    }};
    const auto found = std::ranges::find(reasons, outcome, &std::pair<ReadOutcome, Reason>::first);
    if (found == reasons.end()) {
        co_return false;
    }
    connection->enter(ConnectionPhase::Closing);
    connection->buffer.clear();
    connection->buffer.shrink_to_fit();
    HttpResponse response = this->makeRefusal(found->second.reason, found->second.detail);
    co_return co_await this->respond(connection, std::move(response), 11, false);
}

Asio::awaitable<bool> HttpServer::respond(std::shared_ptr<Connection> connection, HttpResponse response, unsigned version, bool keepAlive)
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
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    Http::response_serializer<Http::string_body> serializer(message);
    connection->stream.expires_after(writeTimeout);
    while (!serializer.is_done()) {
        auto [error, written] = co_await Http::async_write_some(connection->stream, serializer, awaitResult);
        if (error || connection->aborted) {
            co_return false;
        }
        // Closing connections keep their phase.
        if (connection->phase == ConnectionPhase::Writing) {
            connection->enter(ConnectionPhase::Writing);
        }
    }
    co_return true;
}

Asio::awaitable<void> HttpServer::discardUnread(std::shared_ptr<Connection> connection)
{
    Beast::error_code ignored;
    connection->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    connection->stream.expires_after(discardTimeout);
    std::size_t discarded = 0;
    while (discarded < maximumDiscardedBytes && !connection->aborted) {
        connection->buffer.clear();
        auto [error, received] = co_await connection->stream.async_read_some(connection->buffer.prepare(firstReadBytes), awaitResult);
        if (error) {
            co_return;
        }
        discarded += received;
    }
}

} // namespace Galenawell

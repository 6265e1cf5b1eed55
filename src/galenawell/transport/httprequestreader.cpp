// Reading of one request by HttpServer: limits of its time, its framing and its memory.
#include "galenawell/transport/framinglimit.h"
#include "galenawell/transport/httpconnection.h"

#include <algorithm>

namespace Galenawell {

namespace {

// Also bounds how long the parser works before other connections have their turn.
constexpr std::size_t readBytes = std::size_t(16) * 1024;
// Memory of one header field or parameter besides its text, in the parser and in the request made of it.
constexpr std::size_t fieldBytes = 256;
// The most that a parsed head takes for each of its bytes, with the shortest possible fields.
constexpr std::size_t headExpansion = 64;

// What the head takes, parsed and as a request.
std::size_t estimateHead(const Http::request<Http::string_body> &message)
{
    constexpr std::size_t textCopies = 3;
    const std::string_view target(message.target().data(), message.target().size());
    std::size_t bytes = textCopies * target.size() + fieldBytes * static_cast<std::size_t>(std::ranges::count(target, '&'));
    for (const auto &field : message) {
        bytes += fieldBytes + textCopies * (field.name_string().size() + field.value().size());
    }
    return bytes;
}

} // namespace

Asio::awaitable<HttpServer::ReadOutcome> HttpServer::readRequest(std::shared_ptr<Connection> connection, RequestRead &read)
{
    read.parser.header_limit(read.limits->maximumHeaderBytes);
    read.parser.body_limit(read.limits->maximumBodyBytes);
    connection->stream.expires_never();
    connection->currentRead = connection->requestNumber;
    connection->readTimedOut = false;
    Asio::steady_timer timer(connection->stream.get_executor(), read.limits->requestReadTimeout);
    timer.async_wait([connection, number = connection->currentRead](const Beast::error_code &error) {
        if (error || connection->currentRead != number) {
            return;
        }
        connection->readTimedOut = true;
        connection->stream.cancel();
        if (connection->memoryWait) {
            connection->memoryWait->cancel();
        }
    });
    ReadOutcome outcome = co_await this->readParts(connection, read);
    connection->currentRead = 0;
    if (outcome != ReadOutcome::Complete && connection->readTimedOut) {
        outcome = ReadOutcome::TimedOut;
    }
    if (outcome == ReadOutcome::Complete && !read.memory->setComplete()) {
        outcome = ReadOutcome::OutOfMemory;
    }
    co_return outcome;
}

// Doesn't use Http::async_read, which goes on reading while the last bytes received are an incomplete part of the framing, so that a
// caller can keep it from returning.
Asio::awaitable<HttpServer::ReadOutcome> HttpServer::readParts(std::shared_ptr<Connection> connection, RequestRead &read)
{
    read.receivedBytes = connection->buffer.size();
    while (!read.parser.is_done()) {
        Beast::error_code error = Http::error::need_more;
        if (connection->buffer.size() > 0) {
            const ReadOutcome outcome = co_await this->parseBuffered(connection, read, error);
            if (outcome != ReadOutcome::Complete) {
                co_return outcome;
            }
        }
        // Bytes of the next request may be among them once this one is complete.
        const bool framingTooLong = error == Http::error::need_more
            && (!framingWithinLimit(read.receivedBytes, read.parser.get().body().size())
                || connection->buffer.size() > std::max<std::size_t>(read.limits->maximumHeaderBytes, readBytes));
        if (error == Http::error::header_limit || error == Http::error::body_limit || error == Http::error::buffer_overflow
            || framingTooLong) {
            co_return ReadOutcome::TooLarge;
        }
        if (error && error != Http::error::need_more) {
            co_return ReadOutcome::Malformed;
        }
        if (error != Http::error::need_more) {
            continue;
        }
        const std::size_t needed = connection->buffer.size() + readBytes;
        const ReadOutcome reserved = co_await reserve(connection, read, std::max(needed, connection->buffer.capacity()));
        if (reserved != ReadOutcome::Complete) {
            co_return reserved;
        }
        auto [readError, received] = co_await connection->stream.async_read_some(connection->buffer.prepare(readBytes), awaitResult);
        connection->buffer.commit(received);
        read.receivedBytes += received;
        if (connection->outOfMemory) {
            co_return ReadOutcome::OutOfMemory;
        }
        if (readError) {
            co_return ReadOutcome::Closed;
        }
    }
    co_return ReadOutcome::Complete;
}

Asio::awaitable<HttpServer::ReadOutcome>
HttpServer::parseBuffered(std::shared_ptr<Connection> connection, RequestRead &read, Beast::error_code &error)
{
    // The parser's container would grow by as much again; what it will need is known here and asked for before.
    std::string &body = read.parser.get().body();
    const std::size_t bufferedBytes = connection->buffer.size();
    std::size_t bodyCapacity = body.capacity();
    if (!read.headParsed) {
        read.headBytes = bufferedBytes * headExpansion;
    } else if (body.size() + bufferedBytes > bodyCapacity) {
        bodyCapacity = std::min<std::size_t>(std::max(2 * bodyCapacity, body.size() + bufferedBytes),
                                             std::max<std::size_t>(body.size(), read.limits->maximumBodyBytes));
    }
    const ReadOutcome reserved = co_await reserve(connection, read, connection->buffer.capacity() + bodyCapacity + read.headBytes);
    if (reserved != ReadOutcome::Complete) {
        co_return reserved;
    }
    body.reserve(bodyCapacity);
    read.parser.eager(read.headParsed);
    connection->buffer.consume(read.parser.put(connection->buffer.data(), error));
    if (!read.headParsed && read.parser.is_header_done()) {
        read.headParsed = true;
        read.headBytes = estimateHead(read.parser.get());
        const std::size_t declaredBytes = read.parser.content_length().value_or(0);
        if (!error && !this->applyBodyLimit(read)) {
            error = Http::error::body_limit;
        }
        if (!error) {
            read.memory->releaseTo(connection->buffer.capacity() + read.headBytes);
            co_return co_await reserve(connection, read, connection->buffer.capacity() + read.headBytes + declaredBytes);
        }
    }
    co_return ReadOutcome::Complete;
}

// The parser has compared the length with the limit of all requests; other requests have smaller limits.
bool HttpServer::applyBodyLimit(RequestRead &read) const
{
    if (!this->options.bodyLimit) {
        return true;
    }
    const auto &message = read.parser.get();
    const std::string_view target(message.target().data(), message.target().size());
    const std::string_view method(message.method_string().data(), message.method_string().size());
    const std::uint64_t limit
        = std::min(this->options.bodyLimit(method, target.substr(0, target.find('?'))), read.limits->maximumBodyBytes);
    read.parser.body_limit(limit);
    return read.parser.content_length().value_or(0) <= limit;
}

Asio::awaitable<HttpServer::ReadOutcome> HttpServer::reserve(std::shared_ptr<Connection> connection, RequestRead &read, std::size_t bytes)
{
    for (;;) {
        if (connection->outOfMemory) {
            co_return ReadOutcome::OutOfMemory;
        }
        if (connection->readTimedOut) {
            co_return ReadOutcome::TimedOut;
        }
        switch (read.memory->growTo(bytes, MonotonicClock::now())) {
        case MemoryGrant::Granted:
            co_return ReadOutcome::Complete;
        case MemoryGrant::TooLarge:
            co_return ReadOutcome::TooLarge;
        case MemoryGrant::Refused:
            co_return ReadOutcome::OutOfMemory;
        case MemoryGrant::Pending:
            break;
        }
        connection->memoryWait.emplace(connection->stream.get_executor(), TimePoint::max());
        co_await connection->memoryWait->async_wait(awaitResult);
        connection->memoryWait.reset();
    }
}

} // namespace Galenawell

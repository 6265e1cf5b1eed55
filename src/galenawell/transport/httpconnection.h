// State of one connection of an HttpServer, and of the request that is being read on it. Internal to the server's sources.
#pragma once

#include "galenawell/transport/httpserver.h"

#include <optional>

namespace Galenawell {

// What a connection does, in the order in which connections are closed when too many are open.
enum class ConnectionPhase : std::uint8_t {
    // Refused; only the refusal's delivery is waited for.
    Closing,
    // Open, without a request so far.
    Silent,
    // Between two requests.
    Idle,
    // Part of a request has arrived.
    Reading,
    // The answer is being written.
    Writing,
    // The request is with the handler. Never closed.
    Handling,
};

// A caller that has read nothing of its answer for this long is cut off when room is short.
inline constexpr std::chrono::milliseconds stalledWriteTime{1000};

struct HttpServer::Connection
{
    explicit Connection(Tcp::socket &&socket)
        : stream(std::move(socket))
    {
    }

    void enter(ConnectionPhase newPhase)
    {
        this->phase = newPhase;
        this->phaseSince = MonotonicClock::now().time_since_epoch().count();
    }

    Duration timeInPhase(TimePoint now) const
    {
        return now.time_since_epoch() - Duration(this->phaseSince.load());
    }

    // True if the caller has read nothing of its answer for a while.
    bool isStalledWriter(TimePoint now) const
    {
        return this->phase == ConnectionPhase::Writing && this->timeInPhase(now) >= stalledWriteTime;
    }

    // Ends the pending operations and all later ones.
    void abort()
    {
        this->aborted = true;
        this->stream.close();
    }

    Beast::tcp_stream stream;
    Beast::flat_buffer buffer;
    // Both are read by other threads.
    std::atomic<ConnectionPhase> phase{ConnectionPhase::Silent};
    std::atomic<Duration::rep> phaseSince{MonotonicClock::now().time_since_epoch().count()};
    // Chosen to be closed in place of a newer connection.
    std::atomic<bool> replaced{false};

    // Used only on the connection's strand.
    bool aborted = false;
    // Set when requestReadTimeout ends a request; the stream's own timeout would close the socket before the refusal.
    bool readTimedOut = false;
    // Set when the request is ended to make room for others.
    bool outOfMemory = false;
    // Number of the current request; callbacks of earlier ones do nothing.
    std::uint64_t requestNumber = 0;
    // Number of the pending read of a request; 0 if there is none.
    std::uint64_t currentRead = 0;
    // Set while a request waits for memory.
    std::optional<Asio::steady_timer> memoryWait;
    // Set while watchCaller() waits for the caller to close the connection.
    bool watchingCaller = false;
};

// Which connection is closed first for a new one: by phase, then the longest in it.
struct HttpServer::ClosingRank
{
    bool isBefore(const ClosingRank &other) const
    {
        return this->phase != other.phase ? this->phase < other.phase : this->time > other.time;
    }

    ConnectionPhase phase;
    Duration time;
};

// A request that is being read.
struct HttpServer::RequestRead
{
    std::shared_ptr<const HttpLimits> limits;
    std::shared_ptr<RequestMemoryHolder> memory;
    RequestParser parser;
    // Of this request, framing included.
    std::size_t receivedBytes = 0;
    // Estimated for the parsed head.
    std::size_t headBytes = 0;
    bool headParsed = false;
};

} // namespace Galenawell

// Sends requests to the fronts over keep-alive connections, in an open or a closed loop, and records the outcomes.
#pragma once

#include "loadoptions.h"
#include "loadtestreport.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Galenawell::Load {

class LoadDriver
{
public:
    LoadDriver(boost::asio::io_context &ioContext, const LoadOptions &loadOptions);

    // Fetches the entry list, sends for the configured duration, and waits for the last replies. No value after success.
    boost::asio::awaitable<std::optional<Error>> run();

    const LoadTestReport &report() const;
    std::chrono::duration<double> elapsed() const;

private:
    using Endpoint = boost::asio::ip::tcp::endpoint;
    using Clock = std::chrono::steady_clock;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    struct Connection
    {
        Connection(boost::asio::io_context &ioContext, const Endpoint &address);

        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        Endpoint entry;
        bool wasUsed = false;
    };
    using ConnectionPointer = std::unique_ptr<Connection>;

    struct Query
    {
        std::string id;
        Priority priority;
        std::string body;
    };

    struct Entry
    {
        Endpoint address;
        unsigned weight;
    };

    boost::asio::awaitable<void> refreshEntries();
    boost::asio::awaitable<Status> fetchEntries();
    boost::asio::awaitable<Status> fetchEntriesFrom(Endpoint front);
    Status replaceEntries(const std::string &body);

    boost::asio::awaitable<void> runOpenLoop();
    boost::asio::awaitable<void> runClosedLoop();
    boost::asio::awaitable<void> sendScheduled(Priority priority, Clock::time_point scheduledAt);

    // Resets the connection if it can't be reused.
    boost::asio::awaitable<void> query(Priority priority, Clock::time_point scheduledAt, ConnectionPointer &connection);
    boost::asio::awaitable<RequestOutcome> exchange(const Query &query, ConnectionPointer &connection);
    boost::asio::awaitable<Result<Response>> transfer(Request &request, Connection &connection, std::chrono::milliseconds timeout);

    ConnectionPointer takeConnection();
    const Endpoint &pickEntry();
    bool isCurrent(const Connection &connection) const;
    Query makeQuery(Priority priority);
    Priority pickPriority();
    // Random index in proportion to the weights, of which one must be positive.
    std::size_t pickWeighted(std::span<const unsigned> weights);

    boost::asio::io_context &context;
    LoadOptions options;
    boost::random::mt19937_64 random;
    LoadTestReport testReport;
    // Never empty after the first successful fetch.
    std::vector<Entry> entries;
    std::chrono::milliseconds entryCacheDuration{10000};
    std::vector<ConnectionPointer> idleConnections;
    std::uint64_t lastRequestNumber = 0;
    // Running send loops and requests of the open loop.
    std::size_t activeTasks = 0;
    Clock::time_point begin;
    Clock::time_point end;
    Clock::time_point lastCompletionAt;
};

} // namespace Galenawell::Load

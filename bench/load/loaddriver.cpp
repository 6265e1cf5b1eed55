#include "loaddriver.h"

#include "answercheck.h"

#include "galenawell/core/clock.h"
#include "galenawell/core/reasons.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>

namespace Galenawell::Load {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace {

constexpr auto asTuple = Asio::as_tuple(Asio::use_awaitable);
// A front replies by the deadline. A request without a reply after this additional time counts as failed.
constexpr std::chrono::milliseconds replyGrace{2000};
constexpr std::chrono::milliseconds entryListTimeout{1000};
// Keeps a closed loop from spinning while no front accepts connections.
constexpr std::chrono::milliseconds failureBackoff{20};
constexpr std::chrono::milliseconds completionPollInterval{10};
constexpr std::uint64_t maximumReplyBytes = 64UL * 1024 * 1024;

Asio::awaitable<void> sleepFor(std::chrono::milliseconds duration)
{
    Asio::steady_timer timer(co_await Asio::this_coro::executor, duration);
    co_await timer.async_wait(asTuple);
}

std::string endpointText(const Asio::ip::tcp::endpoint &endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

void replaceAll(std::string &text, const std::string &pattern, const std::string &replacement)
{
    for (std::size_t at = text.find(pattern); at != std::string::npos; at = text.find(pattern, at + replacement.size())) {
        text.replace(at, pattern.size(), replacement);
    }
}

} // namespace

LoadDriver::Connection::Connection(Asio::io_context &ioContext, const Endpoint &address)
    : stream(ioContext)
    , entry(address)
{
}

LoadDriver::LoadDriver(Asio::io_context &ioContext, const LoadOptions &loadOptions)
    : context(ioContext)
    , options(loadOptions)
    , random(loadOptions.randomSeed)
{
}

Asio::awaitable<std::optional<Error>> LoadDriver::run()
{
    const Status fetched = co_await this->fetchEntries();
    if (!fetched) {
        co_return fetched.error();
    }
    this->begin = Clock::now();
    this->lastCompletionAt = this->begin;
    this->end = this->begin + this->options.duration;
    Asio::co_spawn(this->context, this->refreshEntries(), Asio::detached);
    const std::size_t loops = this->options.rate > 0 ? 1 : this->options.connections;
    this->activeTasks = loops;
    for (std::size_t loop = 0; loop < loops; ++loop) {
        Asio::co_spawn(this->context, this->options.rate > 0 ? this->runOpenLoop() : this->runClosedLoop(), Asio::detached);
    }
    while (this->activeTasks > 0) {
        co_await sleepFor(completionPollInterval);
    }
    co_return std::nullopt;
}

Asio::awaitable<void> LoadDriver::refreshEntries()
{
    while (Clock::now() < this->end) {
        co_await sleepFor(this->entryCacheDuration);
        const Status fetched = co_await this->fetchEntries();
        if (!fetched) {
            std::cerr << "load: entry list not renewed, the previous one stays in use: " << fetched.error().message() << '\n';
        }
    }
}

Asio::awaitable<Status> LoadDriver::fetchEntries()
{
    std::vector<Endpoint> candidates;
    for (const Entry &entry : this->entries) {
        candidates.push_back(entry.address);
    }
    candidates.insert(candidates.end(), this->options.seedAddresses.begin(), this->options.seedAddresses.end());
    Status status = makeError(ErrorKind::ConnectionFailed, "no front to ask for the entry list");
    for (const Endpoint &front : candidates) {
        status = co_await this->fetchEntriesFrom(front);
        if (status) {
            break;
        }
    }
    co_return status;
}

Asio::awaitable<Status> LoadDriver::fetchEntriesFrom(Endpoint front)
{
    Connection connection(this->context, front);
    std::string target = "/v1/entries";
    if (!this->options.dataCentre.empty()) {
        target += "?dataCentre=" + this->options.dataCentre;
    }
    Request request(Http::verb::get, target, 11);
    const Result<Response> response = co_await this->transfer(request, connection, entryListTimeout);
    if (!response) {
        co_return response.error();
    }
    if (response.value().result() != Http::status::ok) {
        co_return makeError(ErrorKind::ServerRefused, endpointText(front) + " refused the entry list: " + response.value().body());
    }
    co_return this->replaceEntries(response.value().body());
}

Status LoadDriver::replaceEntries(const std::string &body)
{
    std::vector<Entry> fetched;
    try {
        const nlohmann::json json = nlohmann::json::parse(body);
        for (const nlohmann::json &entry : json.at("entries")) {
            const Result<Endpoint> endpoint = parseLoopback(entry.at("address").get<std::string>());
            if (!endpoint) {
                return endpoint.error();
            }
            fetched.push_back(Entry{.address = endpoint.value(), .weight = std::max(1U, entry.value("weight", 1U))});
        }
        this->entryCacheDuration
            = std::max(std::chrono::milliseconds(json.value("keepMs", this->entryCacheDuration.count())), failureBackoff);
    } catch (const nlohmann::json::exception &exception) {
        return makeError(ErrorKind::InvalidReply, std::string("the entry list isn't readable: ") + exception.what());
    }
    if (fetched.empty()) {
        return makeError(ErrorKind::NotFound, "the entry list is empty");
    }
    this->entries = std::move(fetched);
    return boost::outcome_v2::success();
}

Asio::awaitable<void> LoadDriver::runOpenLoop()
{
    boost::random::exponential_distribution<double> interarrival(this->options.rate);
    Asio::steady_timer timer(this->context);
    Clock::time_point scheduledAt = this->begin;
    while (true) {
        scheduledAt += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(interarrival(this->random)));
        if (scheduledAt >= this->end) {
            break;
        }
        if (scheduledAt > Clock::now()) {
            timer.expires_at(scheduledAt);
            co_await timer.async_wait(asTuple);
        }
        const Priority priority = this->pickPriority();
        // activeTasks includes this loop.
        if (this->activeTasks > this->options.connections) {
            this->testReport.countUnsent(priority);
            continue;
        }
        ++this->activeTasks;
        Asio::co_spawn(this->context, this->sendScheduled(priority, scheduledAt), Asio::detached);
    }
    --this->activeTasks;
}

Asio::awaitable<void> LoadDriver::sendScheduled(Priority priority, Clock::time_point scheduledAt)
{
    ConnectionPointer connection = this->takeConnection();
    co_await this->query(priority, scheduledAt, connection);
    if (connection) {
        this->idleConnections.push_back(std::move(connection));
    }
    --this->activeTasks;
}

Asio::awaitable<void> LoadDriver::runClosedLoop()
{
    ConnectionPointer connection;
    while (Clock::now() < this->end) {
        if (!connection || !this->isCurrent(*connection)) {
            connection = this->takeConnection();
        }
        co_await this->query(this->pickPriority(), Clock::now(), connection);
        if (!connection) {
            co_await sleepFor(failureBackoff);
        }
    }
    --this->activeTasks;
}

Asio::awaitable<void> LoadDriver::query(Priority priority, Clock::time_point scheduledAt, ConnectionPointer &connection)
{
    this->testReport.countSent(priority);
    const Query query = this->makeQuery(priority);
    const bool reused = connection->wasUsed;
    RequestOutcome outcome = co_await this->exchange(query, connection);
    if (outcome.kind == OutcomeKind::Failed && outcome.reason == "connection_lost" && reused && this->options.idempotent) {
        // A front may close an idle connection just as it is reused.
        connection = std::make_unique<Connection>(this->context, this->pickEntry());
        outcome = co_await this->exchange(query, connection);
    }
    this->lastCompletionAt = Clock::now();
    // Measured from the scheduled time, so that requests delayed by a slow front count in full (coordinated omission).
    this->testReport.record(priority, outcome, std::chrono::duration_cast<std::chrono::microseconds>(this->lastCompletionAt - scheduledAt));
}

Asio::awaitable<RequestOutcome> LoadDriver::exchange(const Query &query, ConnectionPointer &connection)
{
    Request request(Http::verb::post, "/v1/query", 11);
    request.set(Http::field::content_type, "application/json");
    request.body() = query.body;
    const Result<Response> response = co_await this->transfer(request, *connection, this->options.deadline + replyGrace);
    if (!response) {
        connection.reset();
        co_return RequestOutcome{.kind = OutcomeKind::Failed, .reason = std::string(toString(response.error().kind))};
    }
    if (!response.value().keep_alive()) {
        connection.reset();
    }
    co_return checkReply(this->options, query.id, response.value().result_int(), response.value().body());
}

Asio::awaitable<Result<LoadDriver::Response>>
LoadDriver::transfer(Request &request, Connection &connection, std::chrono::milliseconds timeout)
{
    const std::string address = endpointText(connection.entry);
    connection.stream.expires_after(timeout);
    if (!connection.stream.socket().is_open()) {
        const auto [connectError] = co_await connection.stream.async_connect(connection.entry, asTuple);
        if (connectError) {
            co_return makeError(ErrorKind::ConnectionFailed, address + ": " + connectError.message());
        }
        connection.stream.socket().set_option(Asio::ip::tcp::no_delay(true));
    }
    connection.wasUsed = true;
    request.set(Http::field::host, address);
    request.prepare_payload();
    const auto [writeError, bytesWritten] = co_await Http::async_write(connection.stream, request, asTuple);
    if (writeError) {
        co_return makeError(ErrorKind::ConnectionLost, address + ": " + writeError.message());
    }
    Http::response_parser<Http::string_body> parser;
    parser.body_limit(maximumReplyBytes);
    const auto [readError, bytesRead] = co_await Http::async_read(connection.stream, connection.buffer, parser, asTuple);
    if (readError == boost::beast::error::timeout) {
        co_return makeError(ErrorKind::DeadlineExceeded, address + " sent no reply in time");
    }
    if (readError) {
        co_return makeError(ErrorKind::ConnectionLost, address + ": " + readError.message());
    }
    connection.stream.expires_never();
    co_return parser.release();
}

LoadDriver::ConnectionPointer LoadDriver::takeConnection()
{
    while (!this->idleConnections.empty()) {
        ConnectionPointer connection = std::move(this->idleConnections.back());
        this->idleConnections.pop_back();
        if (this->isCurrent(*connection)) {
            return connection;
        }
    }
    return std::make_unique<Connection>(this->context, this->pickEntry());
}

const LoadDriver::Endpoint &LoadDriver::pickEntry()
{
    std::vector<unsigned> weights;
    for (const Entry &entry : this->entries) {
        weights.push_back(entry.weight);
    }
    return this->entries[this->pickWeighted(weights)].address;
}

bool LoadDriver::isCurrent(const Connection &connection) const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [&](const Entry &entry) { return entry.address == connection.entry; });
}

Priority LoadDriver::pickPriority()
{
    return static_cast<Priority>(this->pickWeighted(this->options.mix));
}

std::size_t LoadDriver::pickWeighted(std::span<const unsigned> weights)
{
    const unsigned total = std::accumulate(weights.begin(), weights.end(), 0U);
    unsigned picked = boost::random::uniform_int_distribution<unsigned>(0, total - 1)(this->random);
    std::size_t index = 0;
    while (picked >= weights[index]) {
        picked -= weights[index];
        ++index;
    }
    return index;
}

LoadDriver::Query LoadDriver::makeQuery(Priority priority)
{
    const std::uint64_t number = ++this->lastRequestNumber;
    Query query;
    query.priority = priority;
    query.id = std::to_string(wallNow().time_since_epoch().count()) + "-" + std::to_string(this->random());
    std::string body = this->options.body;
    replaceAll(body, "{n}", std::to_string(number));
    const nlohmann::json json{
        {"id", query.id},
        {"caller", "load-" + std::to_string(number % this->options.callerCount)},
        {"service", this->options.service},
        {"priority", std::string(toString(priority))},
        {"deadlineMs", this->options.deadline.count()},
        {"idempotent", this->options.idempotent},
        {"partialAllowed", this->options.partialAllowed},
        {"body", nlohmann::json::parse(body)},
    };
    query.body = json.dump();
    return query;
}

const LoadTestReport &LoadDriver::report() const
{
    return this->testReport;
}

std::chrono::duration<double> LoadDriver::elapsed() const
{
    return this->lastCompletionAt - this->begin;
}

} // namespace Galenawell::Load

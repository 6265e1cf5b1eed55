#include "galenawell/operatorclient.h"

#include "galenawell/settings/objectreader.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/outcome/try.hpp>
#include <fstream>
#include <iterator>
#include <thread>

namespace Galenawell {

namespace Detail {

namespace {

namespace http = boost::beast::http;
using Endpoint = boost::asio::ip::tcp::endpoint;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr unsigned http11 = 11;
// The list of 57,000 backend servers takes about 15 MiB.
constexpr std::uint64_t maximumReplyBytes = std::uint64_t{256} * 1024 * 1024;
constexpr std::size_t minimumAttempts = 3;
constexpr std::chrono::milliseconds retryDelay{200};
constexpr std::size_t maximumTokenBytes = 1024;

enum class ExchangeState : std::uint8_t {
    Answered,
    // Connecting failed, so nothing was sent.
    NotSent,
    // The request may have arrived.
    Lost,
};

struct Exchange
{
    ExchangeState state = ExchangeState::NotSent;
    HttpReply reply;
    std::string errorText;
};

// Each step runs an asynchronous operation to completion, because Beast's timeouts don't apply to synchronous ones.
class Connection
{
public:
    explicit Connection(std::chrono::milliseconds timeout)
        : stream(this->context)
    {
        this->stream.expires_after(timeout);
    }

    boost::system::error_code connect(const Endpoint &address)
    {
        return this->runToCompletion([&](auto handler) { this->stream.async_connect(address, handler); });
    }

    boost::system::error_code write(const Request &request)
    {
        return this->runToCompletion([&](auto handler) {
            http::async_write(this->stream, request, [handler](boost::system::error_code failure, std::size_t) { handler(failure); });
        });
    }

    boost::system::error_code read(http::response_parser<http::string_body> &parser)
    {
        return this->runToCompletion([&](auto handler) {
            http::async_read(
                this->stream, this->buffer, parser, [handler](boost::system::error_code failure, std::size_t) { handler(failure); });
        });
    }

private:
    template<typename Start>
    boost::system::error_code runToCompletion(Start start)
    {
        boost::system::error_code outcome;
        start([&outcome](boost::system::error_code failure) { outcome = failure; });
        this->context.restart();
        this->context.run();
        return outcome;
    }

    boost::asio::io_context context;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
};

Exchange failedExchange(ExchangeState state, const Endpoint &address, const boost::system::error_code &failure)
{
    Exchange exchange;
    exchange.state = state;
    exchange.errorText = toString(address) + ": " + failure.message();
    return exchange;
}

Exchange exchangeWith(const Endpoint &address, Request request, std::chrono::milliseconds timeout)
{
    request.set(http::field::host, toString(address));
    Connection connection(timeout);
    boost::system::error_code failure = connection.connect(address);
    if (failure) {
        return failedExchange(ExchangeState::NotSent, address, failure);
    }
    failure = connection.write(request);
    if (failure) {
        return failedExchange(ExchangeState::Lost, address, failure);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(maximumReplyBytes);
    failure = connection.read(parser);
    if (failure) {
        return failedExchange(ExchangeState::Lost, address, failure);
    }
    Exchange exchange;
    exchange.state = ExchangeState::Answered;
    exchange.reply.status = parser.get().result_int();
    exchange.reply.body = nlohmann::json::parse(parser.get().body(), nullptr, false);
    return exchange;
}

// Without the Host field, which depends on the address of each attempt.
Request makeRequest(http::verb verb, const std::string &target, const ClientOptions &options)
{
    Request request(verb, target, http11);
    request.set(http::field::user_agent, "galenawell");
    if (!options.token.empty()) {
        request.set(http::field::authorization, "Bearer " + options.token);
    }
    request.keep_alive(false);
    return request;
}

CommandError unavailableError(const std::string &errorText)
{
    return CommandError{.code = ExitCode::Unavailable,
                        .kind = "connection_failed",
                        .detail = errorText,
                        .remedy = "check the address, or name another front with --address"};
}

CommandError outcomeUnknownError(const std::string &errorText)
{
    return CommandError{.code = ExitCode::OutcomeUnknown,
                        .kind = "connection_lost",
                        .detail = errorText + "; the request may have taken effect",
                        .remedy = "check the current state, or repeat the same command if its help says that this is safe"};
}

CommandError invalidReplyError(const HttpReply &reply)
{
    return CommandError{.code = ExitCode::InvalidReply,
                        .kind = "invalid_reply",
                        .detail = "the reply with HTTP status " + std::to_string(reply.status) + " is not a JSON object",
                        .remedy = "check that --address names a galenawell front and that its version matches this tool"};
}

ExitCode exitCodeFor(unsigned status, bool change)
{
    constexpr unsigned unauthorised = 401;
    constexpr unsigned forbidden = 403;
    constexpr unsigned firstServerError = 500;
    if (status == unauthorised || status == forbidden) {
        return ExitCode::Unauthorised;
    }
    if (status < firstServerError) {
        return ExitCode::Refused;
    }
    return change ? ExitCode::OutcomeUnknown : ExitCode::Unavailable;
}

bool isServerError(const Exchange &exchange)
{
    constexpr unsigned firstServerError = 500;
    return exchange.state == ExchangeState::Answered && exchange.reply.status >= firstServerError;
}

std::string textMember(const nlohmann::json &body, const char *key, const std::string &fallback)
{
    const auto found = body.find(key);
    return found != body.end() && found->is_string() ? found->get<std::string>() : fallback;
}

// Sends a request to the addresses in turn and records whether it may have taken effect.
class RetryingExchange
{
public:
    RetryingExchange(const ClientOptions &clientOptions, const Request &sentRequest, Resend resendPolicy)
        : options(clientOptions)
        , request(sentRequest)
        , resend(resendPolicy)
    {
    }

    CommandResult<HttpReply> run()
    {
        const std::size_t count = std::max(minimumAttempts, this->options.addresses.size());
        Exchange last;
        bool mayHaveTakenEffect = false;
        for (std::size_t attempt = 0; attempt < count; ++attempt) {
            this->delayBefore(attempt);
            last = exchangeWith(this->options.addresses[attempt % this->options.addresses.size()], this->request, this->options.timeout);
            // A 5xx reply to a change may follow a proposal that is committed later.
            mayHaveTakenEffect = mayHaveTakenEffect || last.state == ExchangeState::Lost || isServerError(last);
            if (this->isFinal(last)) {
                break;
            }
        }
        if (last.state == ExchangeState::Answered) {
            return last.reply;
        }
        return mayHaveTakenEffect ? outcomeUnknownError(last.errorText) : unavailableError(last.errorText);
    }

private:
    // Waits before each further round over the addresses, so that a restarting server can come back.
    void delayBefore(std::size_t attempt) const
    {
        const std::size_t round = attempt / this->options.addresses.size();
        std::this_thread::sleep_for(retryDelay * round);
    }

    bool isFinal(const Exchange &exchange) const
    {
        if (exchange.state == ExchangeState::NotSent) {
            return false;
        }
        if (this->resend == Resend::Forbidden) {
            return true;
        }
        return exchange.state == ExchangeState::Answered && !isServerError(exchange);
    }

    const ClientOptions &options;
    const Request &request;
    Resend resend;
};

CommandResult<std::string> readToken(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::string token{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    token.erase(token.find_last_not_of(" \t\r\n") + 1);
    const auto isVisible = [](char character) { return character > ' ' && character <= '~'; };
    if (token.empty() || token.size() > maximumTokenBytes || !std::all_of(token.begin(), token.end(), isVisible)) {
        return usageError(file + ": --token-file must name a readable file with one token of visible ASCII characters");
    }
    return token;
}

} // namespace

} // namespace Detail

OperatorClient::OperatorClient(ClientOptions clientOptions)
    : options(std::move(clientOptions))
{
}

void OperatorClient::addOptions(CommandOptions &options)
{
    namespace po = boost::program_options;
    auto add = options.visible.add_options();
    add("address,a", po::value<std::vector<std::string>>(), "operator address of any front, IP:port; may be repeated, tried in turn");
    add("token-file,t", po::value<std::string>(), "file with the operator token");
    add("timeout", po::value<std::string>()->default_value("10"), "seconds for one exchange with one address");
}

CommandResult<OperatorClient> OperatorClient::fromInvocation(const Invocation &invocation)
{
    BOOST_OUTCOME_TRY(auto addresses, parseAddresses(invocation.texts("address")));
    BOOST_OUTCOME_TRY(const std::string file, invocation.required("token-file", "--token-file"));
    BOOST_OUTCOME_TRY(const std::string token, Detail::readToken(file));
    BOOST_OUTCOME_TRY(const std::chrono::seconds timeout, invocation.seconds("timeout"));
    return OperatorClient({.addresses = std::move(addresses), .token = token, .timeout = timeout});
}

CommandResult<nlohmann::json> OperatorClient::get(const std::string &target) const
{
    const Detail::Request request = Detail::makeRequest(Detail::http::verb::get, target, this->options);
    CommandResult<HttpReply> reply = Detail::RetryingExchange(this->options, request, Resend::Allowed).run();
    if (reply.has_error() && reply.error().code == ExitCode::OutcomeUnknown) {
        // A GET changes nothing, so a lost reply isn't an unknown outcome.
        return Detail::unavailableError(reply.error().detail);
    }
    if (reply.has_error()) {
        return reply.error();
    }
    constexpr unsigned okStatus = 200;
    if (reply.value().status != okStatus) {
        return errorFromReply(reply.value(), false);
    }
    if (!reply.value().body.is_object()) {
        return Detail::invalidReplyError(reply.value());
    }
    return reply.value().body;
}

CommandResult<HttpReply> OperatorClient::post(const std::string &target, const nlohmann::json &body, Resend resend) const
{
    Detail::Request request = Detail::makeRequest(Detail::http::verb::post, target, this->options);
    request.set(Detail::http::field::content_type, "application/json");
    request.body() = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    request.prepare_payload();
    BOOST_OUTCOME_TRY(const HttpReply reply, Detail::RetryingExchange(this->options, request, resend).run());
    if (!reply.body.is_object()) {
        return Detail::invalidReplyError(reply);
    }
    return reply;
}

CommandError errorFromReply(const HttpReply &reply, bool change)
{
    if (!reply.body.is_object()) {
        return Detail::invalidReplyError(reply);
    }
    const std::string status = "the server answered with HTTP status " + std::to_string(reply.status);
    std::string fallbackKind = "server_refused";
    if (Detail::exitCodeFor(reply.status, change) == ExitCode::Unauthorised) {
        fallbackKind = "unauthenticated";
    }
    return CommandError{.code = Detail::exitCodeFor(reply.status, change),
                        .kind = Detail::textMember(reply.body, "verdict", Detail::textMember(reply.body, "reason", fallbackKind)),
                        .detail = Detail::textMember(reply.body, "error", status),
                        .remedy = Detail::textMember(reply.body, "remedy", "check the log of the server")};
}

CommandResult<std::vector<boost::asio::ip::tcp::endpoint>> parseAddresses(const std::vector<std::string> &texts)
{
    std::vector<boost::asio::ip::tcp::endpoint> addresses;
    for (const std::string &text : texts) {
        const std::optional<boost::asio::ip::tcp::endpoint> address = parseEndpoint(text);
        if (!address) {
            return usageError("--address must be a numeric IP address with a port, such as 192.0.2.1:8081, is \"" + text + "\"");
        }
        addresses.push_back(*address);
    }
    if (addresses.empty()) {
        return usageError("--address is required");
    }
    return addresses;
}

} // namespace Galenawell

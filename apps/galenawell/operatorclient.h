// Blocking HTTP client for the operator and caller APIs, with a timeout for each exchange.
#pragma once

#include "galenawell/command.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Galenawell {

struct HttpReply
{
    unsigned status = 0;
    nlohmann::json body;
};

struct ClientOptions
{
    // Tried in turn.
    std::vector<boost::asio::ip::tcp::endpoint> addresses;
    // Without a token, no Authorization header is sent.
    std::string token;
    // For one exchange with one address, from connecting to the complete reply.
    std::chrono::milliseconds timeout{10000};
};

// Whether a request that may have arrived can be sent again, because the server treats it as idempotent.
enum class Resend : std::uint8_t {
    Allowed,
    Forbidden,
};

class OperatorClient
{
public:
    explicit OperatorClient(ClientOptions clientOptions);

    // Options --address, --token-file and --timeout.
    static void addOptions(CommandOptions &options);
    static CommandResult<OperatorClient> fromInvocation(const Invocation &invocation);

    // Returns the body of a reply with status 200; other replies become errors.
    CommandResult<nlohmann::json> get(const std::string &target) const;

    // Returns a reply of any status. A request that may have arrived is sent again only if `resend` allows it; otherwise,
    // and after the last attempt, the outcome is unknown.
    CommandResult<HttpReply> post(const std::string &target, const nlohmann::json &body, Resend resend) const;

private:
    ClientOptions options;
};

// Converts a reply with an error status. A 5xx reply to a change leaves its outcome unknown.
CommandError errorFromReply(const HttpReply &reply, bool change);

CommandResult<std::vector<boost::asio::ip::tcp::endpoint>> parseAddresses(const std::vector<std::string> &texts);

} // namespace Galenawell

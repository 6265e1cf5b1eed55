// What an adapter translates for routed requests: between the messages of callers and backend servers and the values that
// the front decides with. It decides nothing and keeps no state.
#pragma once

#include "galenawell/configuration/routeconfiguration.h"
#include "galenawell/query/answer.h"
#include "galenawell/registry/backendregistry.h"
#include "galenawell/routing/replicahealth.h"
#include "galenawell/transport/backendclient.h"
#include "galenawell/transport/httpserver.h"

#include <chrono>
#include <optional>
#include <string>

namespace Galenawell {

// A caller's request as the front routes it.
struct RoutedRequest
{
    // Of one attempt of the caller; empty if the caller gave none.
    RequestId id;
    std::string host;
    // Without the query string.
    std::string path;
    // How long the caller will wait from now.
    std::optional<std::chrono::milliseconds> timeLeft;
    std::string method;
    std::string target;
    // Those that are passed on to backend servers.
    std::vector<HttpHeader> headers;
    std::string body;
    TimePoint receivedAt;
};

// A backend server's reply, as far as its message tells.
struct ServerReply
{
    // Absent for a whole, successful reply.
    std::optional<RetryReason> failure;
    // A complete reply of this server to this request, successful or not.
    bool forwardable = false;
    // The reply came on a connection that was made for this request.
    bool freshConnection = false;
    std::optional<LoadReport> load;
    unsigned status = 0;
    std::string proof;
    // Without those that concern one connection only.
    std::vector<HttpHeader> headers;
    std::string body;
};

struct Refusal
{
    RefusalReason reason = RefusalReason::NoReplica;
    Execution execution = Execution::Unknown;
    std::optional<std::chrono::milliseconds> retryAfter;
};

class RequestCodec
{
public:
    RequestCodec() = default;
    RequestCodec(const RequestCodec &) = delete;
    RequestCodec &operator=(const RequestCodec &) = delete;
    virtual ~RequestCodec() = default;

    virtual RoutedRequest decodeRequest(HttpRequest request) const = 0;
    virtual ExchangeRequest
    encodeSubrequest(const RoutedRequest &request, const BackendRecord &server, std::chrono::milliseconds timeLeft) const = 0;
    virtual ServerReply decodeReply(const RoutedRequest &request, ExchangeResult result) const = 0;
    virtual HttpResponse encodeAnswer(const Route &route, Answer answer) const = 0;
    virtual HttpResponse encodeRefusal(const Refusal &refusal) const = 0;
};

} // namespace Galenawell

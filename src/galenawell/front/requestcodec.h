// Interface of the stateless protocol adapter for routed requests: converts the messages of callers and backend servers to
// and from the values that the front uses.
#pragma once

#include "galenawell/configuration/routeconfiguration.h"
#include "galenawell/query/answer.h"
#include "galenawell/registry/backendregistry.h"
#include "galenawell/routing/replicahealth.h"
#include "galenawell/routing/serverstate.h"
#include "galenawell/transport/backendclient.h"
#include "galenawell/transport/httpserver.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace Galenawell {

// A decoded request of a caller.
struct RoutedRequest
{
    // Identifies one attempt of the caller; empty if absent from the request.
    RequestId id;
    std::string host;
    // Without the query string.
    std::string path;
    // Timeout set by the caller, from the receipt of the request.
    std::optional<std::chrono::milliseconds> timeLeft;
    std::string method;
    std::string target;
    // What is forwarded to backend servers. Never null.
    std::shared_ptr<const SharedContent> content;
    TimePoint receivedAt;
};

// A decoded reply of a backend server.
struct ServerReply
{
    // Absent for a complete, successful reply.
    std::optional<RetryReason> failure;
    // The reply has the server's proof, and its status doesn't guarantee that the request has not run.
    bool forwardable = false;
    // Number of the connection that carried the request, and whether it was opened for it.
    std::uint64_t connection = 0;
    bool freshConnection = false;
    std::optional<LoadReport> load;
    ServerState state;
    unsigned status = 0;
    std::string proof;
    // End-to-end headers only.
    std::vector<HttpHeader> headers;
    std::string body;
    std::shared_ptr<const void> reservation;
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

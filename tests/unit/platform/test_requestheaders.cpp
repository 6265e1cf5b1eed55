#include "platform/requestheaders.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

HttpRequest callerRequest()
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/a/b?x=%20y";
    request.path = "/a/b";
    request.headers = {{"Host", "h.example:80"},
                       {"Attempt-Id", "id1"},
                       {"Time-Remaining", "600"},
                       {"Connection", "keep-alive, X-Hop"},
                       {"X-Hop", "1"},
                       {"X-Kept", "2"},
                       {"Expected-Instance", "forged"},
                       {"Content-Length", "4"},
                       {"Transfer-Encoding", "chunked"}};
    request.body = "body";
    return request;
}

ExchangeResult serverReply(unsigned status, std::vector<HttpHeader> headers)
{
    ExchangeResult result;
    result.status = ExchangeStatus::Completed;
    result.httpStatus = status;
    result.headers = std::move(headers);
    result.body = "bytes";
    return result;
}

ServerReply decoded(unsigned status, std::vector<HttpHeader> headers)
{
    const Platform::RequestHeaders codec;
    return codec.decodeReply(codec.decodeRequest(callerRequest()), serverReply(status, std::move(headers)));
}

} // namespace

// Guards against a request that reaches a server changed, with the caller's time, or under a forged identity.
Test(requestheaders, a_request_is_passed_on_unchanged_but_for_its_own_headers)
{
    const Platform::RequestHeaders codec;
    const RoutedRequest request = codec.decodeRequest(callerRequest());
    cr_assert(request.id == "id1" && request.host == "h.example" && request.path == "/a/b" && request.timeLeft == 600ms);
    BackendRecord server;
    server.key.address = "10.0.0.1:80";
    server.identity = "i-7";
    const ExchangeRequest sent = codec.encodeSubrequest(request, server, 450ms);
    cr_assert(sent.method == "POST" && sent.target == "/a/b?x=%20y" && sent.body == "body" && sent.address == "10.0.0.1:80");
    cr_assert(findHeader(sent.headers, "attempt-id") == "id1");
    cr_assert(findHeader(sent.headers, "Time-Remaining") == "450");
    cr_assert(findHeader(sent.headers, "Expected-Instance") == "i-7");
    cr_assert(findHeader(sent.headers, "X-Kept") == "2");
    for (const char *dropped : {"Connection", "X-Hop", "Content-Length", "Transfer-Encoding"}) {
        cr_assert(findHeader(sent.headers, dropped).empty(), "%s", dropped);
    }
}

// Guards against wrong answers being merged or passed on as good ones.
Test(requestheaders, only_a_whole_proven_answer_to_this_request_is_a_success)
{
    const HttpHeader own{"Attempt-Id", "id1"};
    const HttpHeader proof{"Server-Stamp", "p"};
    cr_assert(!decoded(200, {own, proof}).failure.has_value());
    cr_assert(decoded(200, {own}).failure == RetryReason::InvalidReply);
    cr_assert(decoded(200, {proof, {"Attempt-Id", "other"}}).failure == RetryReason::InvalidReply);
    cr_assert(decoded(200, {proof}).failure == RetryReason::InvalidReply);
    cr_assert(decoded(200, {own, proof, {"Content-Encoding", "gzip"}}).failure == RetryReason::InvalidReply);
    cr_assert(decoded(500, {own, proof}).failure == RetryReason::ServerFailed);
    cr_assert(decoded(500, {own, proof}).genuine);
}

// Guards against sending again what has run, and against passing on a promise that it hasn't.
Test(requestheaders, only_the_stated_replies_say_that_nothing_ran)
{
    const HttpHeader own{"Attempt-Id", "id1"};
    const HttpHeader proof{"Server-Stamp", "p"};
    cr_assert(decoded(503, {own, {"Not-Executed", "1"}}).failure == RetryReason::Overloaded);
    cr_assert(decoded(421, {}).failure == RetryReason::WrongServer);
    cr_assert(decoded(503, {own, proof}).failure == RetryReason::ServerFailed);
    cr_assert(!decoded(503, {own, proof}).genuine);
    cr_assert(!decoded(429, {own, proof}).genuine);
}

// Guards against load that is misread: running and waiting stand before the slots.
Test(requestheaders, the_load_report_is_read_if_it_is_whole)
{
    const auto load = decoded(200, {{"Attempt-Id", "id1"}, {"Server-Stamp", "p"}, {"Server-Load", "3,1,8"}}).load;
    cr_assert(load.has_value() && load->running == 3 && load->waiting == 1);
    cr_assert(!decoded(200, {{"Attempt-Id", "id1"}, {"Server-Stamp", "p"}, {"Server-Load", "busy"}}).load.has_value());
}

// Guards against a refusal that promises "not run" for work that may have run.
Test(requestheaders, statuses_of_refusals_promise_no_more_than_is_known)
{
    const Platform::RequestHeaders codec;
    const auto statusOf = [&codec](RefusalReason reason, Execution execution) {
        return codec.encodeRefusal({.reason = reason, .execution = execution, .retryAfter = 250ms}).status;
    };
    cr_assert(statusOf(RefusalReason::NoReplica, Execution::NotRun) == 503);
    cr_assert(statusOf(RefusalReason::NoReplica, Execution::Unknown) == 502);
    cr_assert(statusOf(RefusalReason::DeadlineExceeded, Execution::Unknown) == 504);
    cr_assert(statusOf(RefusalReason::DeadlineExceeded, Execution::NotRun) == 503);
    cr_assert(statusOf(RefusalReason::UnknownPath, Execution::NotRun) == 404);
    cr_assert(statusOf(RefusalReason::NoConfiguration, Execution::NotRun) == 503);
    cr_assert(codec.encodeRefusal({.reason = RefusalReason::NoReplica, .execution = Execution::NotRun, .retryAfter = 250ms}).retryAfter
              == 250ms);
}

// Guards against a merged answer that states too much coverage.
Test(requestheaders, a_merged_answer_names_its_proofs_and_the_number_of_gaps)
{
    const Platform::RequestHeaders codec;
    Route route;
    route.groups = {"a", "b", "c"};
    Answer answer;
    answer.coverage = {.total = 3, .answered = 2, .missing = {"c"}};
    answer.proofs = {"p1", "p2"};
    answer.records = "0123456789abcdef";
    const HttpResponse response = codec.encodeAnswer(route, std::move(answer));
    cr_assert(response.status == 200 && response.body == "0123456789abcdef");
    cr_assert(findHeader(response.headers, "Part-Stamps") == "p1, p2");
    cr_assert(findHeader(response.headers, "Missing-Parts") == "1");
}

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

ServerReply decodeReply(unsigned status, std::vector<HttpHeader> headers)
{
    const Platform::RequestHeaders codec;
    return codec.decodeReply(codec.decodeRequest(callerRequest()), serverReply(status, std::move(headers)));
}

} // namespace

// Guards against forwarding a changed request, the caller's own time limit, or a forged server identity.
Test(requestheaders, a_request_is_forwarded_unchanged_except_for_connection_headers)
{
    const Platform::RequestHeaders codec;
    const RoutedRequest request = codec.decodeRequest(callerRequest());
    cr_assert(request.id == "id1" && request.host == "h.example" && request.path == "/a/b" && request.timeLeft == 600ms);
    BackendRecord server;
    server.key.address = "10.0.0.1:80";
    server.identity = "i-7";
    const ExchangeRequest sent = codec.encodeSubrequest(request, server, 450ms);
    cr_assert(sent.method == "POST" && sent.target == "/a/b?x=%20y" && sent.shared->body == "body" && sent.address == "10.0.0.1:80");
    cr_assert(findHeader(sent.shared->headers, "attempt-id") == "id1");
    cr_assert(findHeader(sent.headers, "Time-Remaining") == "450");
    cr_assert(findHeader(sent.headers, "Expected-Instance") == "i-7");
    cr_assert(findHeader(sent.shared->headers, "X-Kept") == "2");
    cr_assert(sent.id == "id1" && sent.readId(serverReply(200, {{"Attempt-Id", "id1"}})) == "id1");
    for (const char *dropped : {"Connection", "X-Hop", "Content-Length", "Transfer-Encoding"}) {
        cr_assert(findHeader(sent.headers, dropped).empty() && findHeader(sent.shared->headers, dropped).empty(), "%s", dropped);
    }
}

// Guards against a limit of a server that is lost, misread as zero or as none, or ended by a reply that says nothing of it.
Test(requestheaders, the_limit_of_a_server_is_read_from_its_own_replies)
{
    const HttpHeader own{"Attempt-Id", "id1"};
    const HttpHeader proof{"Server-Stamp", "p"};
    const auto stateOf = [&](unsigned status, const std::vector<std::string> &limits) {
        std::vector<HttpHeader> headers{own, proof};
        for (const std::string &limit : limits) {
            headers.push_back({"Server-Limit", limit});
        }
        return decodeReply(status, headers).state;
    };
    const ServerState limited = stateOf(200, {"34.8"});
    cr_assert(limited.statesLimit && limited.limit == RequestRate::perSecond(34.8) && !limited.limitIsInvalid);
    cr_assert(stateOf(200, {"0"}).limit == RequestRate::perSecond(0));
    cr_assert(stateOf(200, {"7", "7"}).limit == RequestRate::perSecond(7));
    cr_assert(stateOf(200, {"99999999999"}).limit == RequestRate::perSecond(1e6));
    cr_assert(stateOf(500, {"2.5"}).statesLimit && stateOf(500, {"2.5"}).limit == RequestRate::perSecond(2.5));
    const ServerState unlimited = stateOf(200, {});
    cr_assert(unlimited.statesLimit && !unlimited.limit.has_value());
    cr_assert(!stateOf(500, {}).statesLimit);
    for (const char *odd : {"", "-1", "-0", "nan", "inf", "1e300", "1e3", "text", "5 per second", "0x10", "1,5"}) {
        const ServerState state = stateOf(200, {odd});
        cr_assert(!state.statesLimit && state.limitIsInvalid, "%s", odd);
    }
    cr_assert(stateOf(200, {"5", "7"}).limitIsInvalid && !stateOf(200, {"5", "7"}).statesLimit);
    cr_assert(stateOf(200, {"5", "x"}).limitIsInvalid && stateOf(200, {"x", "5"}).limitIsInvalid);
    const HttpHeader limit{"Server-Limit", "5"};
    cr_assert(!decodeReply(421, {own, limit}).state.statesLimit);
    cr_assert(!decodeReply(200, {{"Attempt-Id", "other"}, proof, limit}).state.statesLimit);
}

// Guards against merging or forwarding an invalid reply as a success.
Test(requestheaders, only_a_complete_proven_reply_to_this_request_is_a_success)
{
    const HttpHeader own{"Attempt-Id", "id1"};
    const HttpHeader proof{"Server-Stamp", "p"};
    cr_assert(!decodeReply(200, {own, proof}).failure.has_value());
    cr_assert(decodeReply(200, {own}).failure == RetryReason::InvalidReply);
    cr_assert(decodeReply(200, {proof, {"Attempt-Id", "other"}}).failure == RetryReason::InvalidReply);
    cr_assert(decodeReply(200, {proof}).failure == RetryReason::InvalidReply);
    cr_assert(decodeReply(200, {own, proof, {"Content-Encoding", "gzip"}}).failure == RetryReason::InvalidReply);
    cr_assert(decodeReply(500, {own, proof}).failure == RetryReason::ServerFailed);
    cr_assert(decodeReply(500, {own, proof}).forwardable);
}

// Guards against retrying a request that has run, and against forwarding a status that guarantees that it hasn't.
Test(requestheaders, only_specified_replies_mean_that_the_request_has_not_run)
{
    const HttpHeader own{"Attempt-Id", "id1"};
    const HttpHeader proof{"Server-Stamp", "p"};
    cr_assert(decodeReply(503, {own, {"Not-Executed", "1"}}).failure == RetryReason::Overloaded);
    cr_assert(decodeReply(421, {own}).failure == RetryReason::WrongServer);
    cr_assert(decodeReply(503, {own, proof}).failure == RetryReason::ServerFailed);
    cr_assert(!decodeReply(503, {own, proof}).forwardable);
    cr_assert(!decodeReply(429, {own, proof}).forwardable);
}

// Guards against a second run of a request that has run: a server that reports its result, or its own failure, has run it, also if the
// reply says that it hasn't.
Test(requestheaders, a_status_of_a_request_that_has_run_outweighs_not_executed)
{
    const HttpHeader own{"Attempt-Id", "id1"};
    const HttpHeader proof{"Server-Stamp", "p"};
    const HttpHeader notExecuted{"Not-Executed", "1"};
    for (const unsigned status : {200U, 204U, 302U, 500U, 502U, 504U}) {
        cr_assert(decodeReply(status, {own, notExecuted}).failure == RetryReason::InvalidReply, "%u", status);
        cr_assert(decodeReply(status, {own, proof, notExecuted}).failure == RetryReason::InvalidReply, "%u", status);
    }
    for (const unsigned status : {400U, 408U, 429U, 503U}) {
        cr_assert(decodeReply(status, {own, notExecuted}).failure == RetryReason::Overloaded, "%u", status);
    }
}

// Guards against the late refusal of an earlier request being taken for that of the current one, which would then run twice.
Test(requestheaders, the_refusal_of_another_request_does_not_mean_that_this_one_has_not_run)
{
    for (const unsigned status : {421U, 429U, 503U}) {
        const ServerReply other = decodeReply(status, {{"Attempt-Id", "id0"}, {"Not-Executed", "1"}, {"Retry-After", "2"}});
        cr_assert(other.failure == RetryReason::InvalidReply);
        cr_assert(!other.forwardable);
        const ServerReply own = decodeReply(status, {{"Attempt-Id", "id1"}, {"Not-Executed", "1"}});
        cr_assert(own.failure == (status == 421 ? RetryReason::WrongServer : RetryReason::Overloaded));
    }
}

// Guards against the rejection of an unknown request being taken for that of the current one, which may run all the same.
Test(requestheaders, a_rejection_without_one_id_does_not_mean_that_the_request_has_not_run)
{
    const HttpHeader own{"Attempt-Id", "id1"};
    const HttpHeader other{"Attempt-Id", "id0"};
    const HttpHeader notExecuted{"Not-Executed", "1"};
    for (const unsigned status : {421U, 429U, 503U}) {
        cr_assert(decodeReply(status, {notExecuted}).failure == RetryReason::InvalidReply, "%u", status);
        cr_assert(decodeReply(status, {own, other, notExecuted}).failure == RetryReason::InvalidReply, "%u", status);
        cr_assert(decodeReply(status, {other, own, notExecuted}).failure == RetryReason::InvalidReply, "%u", status);
        cr_assert(decodeReply(status, {own, own, notExecuted}).failure != RetryReason::InvalidReply, "%u", status);
    }
}

// Guards against misreading the load report, whose fields are running, waiting and slots.
Test(requestheaders, only_a_complete_load_report_is_read)
{
    const auto load = decodeReply(200, {{"Attempt-Id", "id1"}, {"Server-Stamp", "p"}, {"Server-Load", "3,1,8"}}).load;
    cr_assert(load.has_value() && load->running == 3 && load->waiting == 1);
    cr_assert(!decodeReply(200, {{"Attempt-Id", "id1"}, {"Server-Stamp", "p"}, {"Server-Load", "busy"}}).load.has_value());
}

// Guards against a refusal whose status guarantees "not run" for a request that may have run.
Test(requestheaders, the_status_of_a_refusal_guarantees_no_more_than_is_known)
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

// Guards against a merged answer that overstates its coverage.
Test(requestheaders, a_merged_answer_lists_its_proofs_and_the_number_of_missing_groups)
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

// Guards against a server that is taken for leaving by a damaged header, or by the reply of another server at its address.
Test(requestheaders, only_the_expected_server_says_that_it_leaves)
{
    cr_assert(decodeReply(200, {{"Server-Leaving", "1"}}).state.leaving);
    cr_assert(decodeReply(503, {{"server-leaving", "1"}}).state.leaving);
    cr_assert(!decodeReply(421, {{"Server-Leaving", "1"}}).state.leaving);
    for (const char *damaged : {"", "0", "11", "1x", "yes"}) {
        cr_assert(!decodeReply(200, {{"Server-Leaving", damaged}}).state.leaving);
    }
    cr_assert(!decodeReply(200, {}).state.leaving);
}

// Guards against a pause that is ignored, and against odd values that stop the use of a server for long.
Test(requestheaders, a_pause_is_read_from_refusals_in_seconds)
{
    const auto stateOf = [](unsigned status, const std::string &value) { return decodeReply(status, {{"Retry-After", value}}).state; };
    cr_assert(stateOf(503, "2").pause == 2s);
    cr_assert(stateOf(503, "0.25").pause == 250ms);
    cr_assert(stateOf(503, "0").pause == 0ms);
    cr_assert(!stateOf(429, "2").pause && !stateOf(200, "2").pause);
    cr_assert(!decodeReply(503, {}).state.pause && !decodeReply(503, {}).state.pauseIsInvalid);
    for (const char *odd : {"-1", "soon", "1s", "nan", "inf", "1e400", "Wed, 21 Oct 2026 07:28:00 GMT", " "}) {
        cr_assert(!stateOf(503, odd).pause && stateOf(503, odd).pauseIsInvalid, "%s", odd);
    }
    cr_assert(stateOf(503, "31536000").pause == 10min && stateOf(503, "31536000").pauseIsInvalid);
}

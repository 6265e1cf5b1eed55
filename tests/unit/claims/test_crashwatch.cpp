#include "galenawell/claims/crashwatch.h"
#include "galenawell/claims/suspectcontents.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

ReplicaKey serverAt(const std::string &address)
{
    return {.service = "archive", .group = "", .address = address};
}

CrashEvidence evidenceOf(const ContentDigest &content, const std::string &address, Incarnation incarnation = 1)
{
    return {.digest = content, .replica = serverAt(address), .replicaIncarnation = incarnation};
}

// With the suspicions of routed requests, whose lifetimes are the same.
SuspectContents suspectContents()
{
    return SuspectContents(CrashSuspicionsOptions{.suspectTime = 10min, .maximumEntries = 100});
}

} // namespace

// Guards against a request that is blamed for a reset connection.
Test(crashwatch, a_lost_connection_is_evidence_only_if_its_server_ended)
{
    CrashWatch watch;
    watch.onLost(evidenceOf("c", "s1"), start);
    cr_assert(watch.onRegistered({{"s1", 1}}, start + 1s) == 0);
    watch.onReply(serverAt("s1"), 1, start + 2s);
    cr_assert(watch.onServerEnded("s1", start + 3s) == 0, "the server replied after the loss");
    watch.onLost(evidenceOf("c", "s1"), start + 4s);
    watch.onReply(serverAt("s1"), 1, start + 3s);
    cr_assert(watch.onServerEnded("s1", start + 5s) == 1, "an earlier request says nothing");
    watch.onLost(evidenceOf("c", "s2"), start);
    watch.expire(start + 10s);
    cr_assert(watch.onServerEnded("s2", start + 10s) == 0, "too late to be the same end");
}

// Guards against a crash that isn't noticed because nobody connects to its server again.
Test(crashwatch, a_server_that_is_gone_or_registered_anew_has_ended)
{
    CrashWatch watch;
    watch.onLost(evidenceOf("c", "s1"), start);
    watch.onLost(evidenceOf("c", "s2"), start);
    watch.onLost(evidenceOf("c", "s3"), start);
    cr_assert(watch.onRegistered({{"s1", 2}, {"s3", 1}}, start + 1s) == 2);
    const CrashReport report = watch.report();
    cr_assert(report.number == 1 && report.evidence.size() == 2);
    cr_assert(watch.onRegistered({{"s1", 2}, {"s3", 1}}, start + 2s) == 0 && watch.reportNumber() == 1);
}

// Guards against a crash of a server under load that makes its other requests suspect: they run elsewhere.
Test(crashwatch, a_success_withdraws_what_was_seen_of_the_content)
{
    CrashWatch watch;
    watch.onLost(evidenceOf("innocent", "s1"), start);
    watch.onLost(evidenceOf("poison", "s1"), start);
    watch.onSuccess("innocent", start);
    cr_assert(watch.onServerEnded("s1", start + 1s) == 1);
    cr_assert(watch.report().evidence.front().digest == "poison" && watch.report().cleared.empty());
    watch.setSuspects("control1", {"poison"});
    watch.setSuspects("control2", {"poison", "other"});
    cr_assert(watch.isSuspect("poison") && watch.isSuspect("other") && watch.suspectCount() == 2);
    watch.onSuccess("poison", start + 2s);
    cr_assert(!watch.isSuspect("poison") && watch.report().evidence.empty());
    cr_assert(watch.report().cleared == std::vector<ContentDigest>{"poison"});
    watch.onLost(evidenceOf("poison", "s2"), start + 3s);
    cr_assert(watch.onServerEnded("s2", start + 4s) == 1);
    cr_assert(watch.report().cleared.empty(), "a new crash outdates the success");
}

// Guards against messages that repeat all evidence with each new piece.
Test(crashwatch, a_report_holds_what_came_after_the_one_that_was_received)
{
    CrashWatch watch;
    watch.onLost(evidenceOf("c1", "s1"), start);
    cr_assert(watch.onServerEnded("s1", start) == 1);
    const std::uint64_t received = watch.reportNumber();
    cr_assert(watch.report(received).evidence.empty());
    watch.onLost(evidenceOf("c2", "s2"), start);
    cr_assert(watch.onServerEnded("s2", start) == 1);
    watch.onSuccess("c1", start);
    const CrashReport next = watch.report(received);
    cr_assert(next.number == received + 2 && next.evidence.size() == 1 && next.evidence.front().digest == "c2");
    cr_assert(next.cleared == std::vector<ContentDigest>{"c1"});
    cr_assert(watch.report().evidence.size() == 1, "a control process that starts gets all that still holds");
}

// Guards against memory and messages that grow with every lost connection.
Test(crashwatch, what_it_keeps_and_reports_is_bounded)
{
    CrashWatch watch(CrashWatchOptions{.maximumLosses = 10, .maximumEvidence = 5, .maximumCleared = 3});
    for (unsigned index = 0; index < 1000; ++index) {
        watch.onLost(evidenceOf("c" + std::to_string(index), "s"), start);
    }
    cr_assert(watch.onServerEnded("s", start) == 10);
    cr_assert(watch.report().evidence.size() == 5 && watch.report().evidence.back().digest == "c999");
    for (unsigned index = 995; index < 1000; ++index) {
        watch.onSuccess("c" + std::to_string(index), start);
    }
    cr_assert(watch.report().cleared.size() == 3);
    watch.expire(start + 10min);
    cr_assert(watch.report().evidence.empty() && !watch.active());
}

// Guards against a suspicion that rests on one crash, reported by several fronts or again after a restart.
Test(suspectcontents, two_ended_servers_make_a_content_suspect)
{
    SuspectContents suspects = suspectContents();
    suspects.add(evidenceOf("c", "s1"), start);
    suspects.add(evidenceOf("c", "s1"), start + 1s);
    const std::int64_t before = suspects.version();
    cr_assert(suspects.list(start + 1s).empty() && suspects.version() == before);
    suspects.add(evidenceOf("c", "s1", 2), start + 2s);
    cr_assert(suspects.list(start + 2s) == std::vector<ContentDigest>{"c"} && suspects.version() > before);
    cr_assert(suspects.list(start + 2s + 10min).empty(), "a suspicion ends");
}

// Guards against a content that becomes suspect again from evidence that its success has disproved.
Test(suspectcontents, cleared_evidence_does_not_count_when_it_is_reported_again)
{
    SuspectContents suspects = suspectContents();
    suspects.add(evidenceOf("c", "s1"), start);
    suspects.add(evidenceOf("c", "s2"), start);
    cr_assert(suspects.list(start).size() == 1);
    suspects.clear("c", start + 1s);
    cr_assert(suspects.list(start + 1s).empty());
    suspects.add(evidenceOf("c", "s1"), start + 2s);
    suspects.add(evidenceOf("c", "s2"), start + 2s);
    cr_assert(suspects.list(start + 2s).empty());
    suspects.add(evidenceOf("c", "s3"), start + 3s);
    suspects.add(evidenceOf("c", "s4"), start + 3s);
    cr_assert(suspects.list(start + 3s).size() == 1);
}

#include "galenawell/configuration/configuration.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

nlohmann::json validDocument()
{
    return nlohmann::json::parse(R"({"entry": {"keepMs": 5000}, "services": {
        "drafting-desk": {"kind": "sharded", "admission": {"floorPercent": {"standard": 20}, "concurrencyPercent": {"bulk": 30}}},
        "archive-shelf": {"kind": "pool", "maximumDeadlineMs": 60000, "hedge": {"enabled": false, "quantile": 0.9}}}})");
}

struct FaultCase
{
    const char *patch;
    const char *expected;
};

const FaultCase faultCases[] = {
    {R"({"services": null})", "/services: is required"},
    {R"({"entries": {}})", "/entries: unknown key; allowed here are claims, entry, quarantine, services"},
    {R"({"entry": {"keepMs": 99}})", "/entry/keepMs: must be an integer from 100 to 600000 milliseconds, is 99"},
    {R"({"entry": {"keep": 100}})", "/entry/keep: unknown key"},
    {R"({"claims": {"retentionMs": "1 day"}})", "/claims/retentionMs: must be an integer from 60000"},
    {R"({"claims": {"maximumAnswerBytes": 1048577}})", "/claims/maximumAnswerBytes: must be an integer from 0 to 1048576"},
    {R"({"quarantine": {"durationMs": 1.5}})", "/quarantine/durationMs: must be an integer"},
    {R"({"quarantine": []})", "/quarantine: must be an object"},
    {R"({"services": {"a/b": {"kind": "pool"}}})", "/services/a~1b: the service name must be"},
    {R"({"services": {"archive-shelf": {"kind": null}}})", "/services/archive-shelf/kind: is required"},
    {R"({"services": {"archive-shelf": {"kind": "Pool"}}})", "/services/archive-shelf/kind: must be one of \"sharded\", \"pool\""},
    {R"({"services": {"archive-shelf": {"defaultDeadlineMs": 60001}}})",
     "/archive-shelf/defaultDeadlineMs: must be at most maximumDeadlineMs, 60000"},
    {R"({"services": {"archive-shelf": {"subrequestTimeoutMs": 60001}}})", "/archive-shelf/subrequestTimeoutMs: must be at most"},
    {R"({"services": {"archive-shelf": {"maximumDeadlineMs": 3600001}}})", "/archive-shelf/maximumDeadlineMs: must be an integer from 1"},
    {R"({"services": {"archive-shelf": {"retryBudgetPercent": -1}}})", "/archive-shelf/retryBudgetPercent: must be a number from 0 to 100"},
    {R"({"services": {"archive-shelf": {"rampUpMs": 600001}}})", "/archive-shelf/rampUpMs: must be an integer"},
    {R"({"services": {"archive-shelf": {"hedge": {"enabled": 1}}}})", "/hedge/enabled: must be true or false"},
    {R"({"services": {"archive-shelf": {"hedge": {"quantile": 1}}}})", "/hedge/quantile: must be a number from 0.5 to 0.999"},
    {R"({"services": {"archive-shelf": {"hedge": {"budgetPercent": 101}}}})", "/hedge/budgetPercent: must be a number"},
    {R"({"services": {"archive-shelf": {"hedge": {"minimumDelayMs": 60001}}}})", "/hedge/minimumDelayMs: must be an integer"},
    {R"({"services": {"archive-shelf": {"admission": {"minimumConcurrency": 300}}}})",
     "/admission/minimumConcurrency: must be at most maximumConcurrency, 256"},
    {R"({"services": {"archive-shelf": {"admission": {"maximumConcurrency": 0}}}})",
     "/admission/maximumConcurrency: must be an integer from 1"},
    {R"({"services": {"archive-shelf": {"admission": {"queueLength": 0}}}})", "/admission/queueLength: must be an integer from 1"},
    {R"({"services": {"archive-shelf": {"admission": {"floorPercent": {"urgent": 5}}}}})",
     "/floorPercent/urgent: unknown key; allowed here are bulk, standard"},
    {R"({"services": {"archive-shelf": {"admission": {"floorPercent": {"standard": 30, "bulk": 30}}}}})",
     "/admission/floorPercent: must add up to at most 50"},
    {R"({"services": {"archive-shelf": {"admission": {"concurrencyPercent": {"bulk": 0}}}}})",
     "/concurrencyPercent/bulk: must be an integer from 1 to 100"},
};

} // namespace

// Guards against options that are parsed into the wrong member, and against lost defaults.
Test(configuration, a_document_sets_options_and_keeps_defaults)
{
    const Result<Configuration> result = parseConfiguration(validDocument());
    cr_assert(result.has_value(), "%s", result.has_error() ? result.error().detail.c_str() : "");
    const Configuration &configuration = result.value();
    cr_assert(configuration.entry.cacheDuration == 5000ms);
    cr_assert(configuration.claims.retention == 24h);
    const ServiceOptions &drafting = *configuration.findService("drafting-desk");
    cr_assert(drafting.name == "drafting-desk");
    cr_assert(drafting.admission.floorPercent == (std::array<unsigned, priorityCount>{0, 20, 5}));
    cr_assert(drafting.admission.concurrencyPercent == (std::array<unsigned, priorityCount>{100, 80, 30}));
    const ServiceOptions &archive = *configuration.findService("archive-shelf");
    cr_assert(archive.kind == ServiceKind::Pool);
    cr_assert_not(archive.hedge.enabled);
    cr_assert(archive.hedge.quantile == 0.9);
    cr_assert(archive.defaultDeadline == 2000ms);
    cr_assert(configuration.findService("absent") == nullptr);
}

// Guards against a change that takes partial effect because a wrong key or value is ignored.
Test(configuration, every_fault_names_pointer_and_allowed_values)
{
    for (const FaultCase &fault : faultCases) {
        nlohmann::json document = validDocument();
        document.merge_patch(nlohmann::json::parse(fault.patch));
        const Result<Configuration> result = parseConfiguration(document);
        cr_assert(result.has_error(), "accepted: %s", fault.patch);
        cr_expect(result.error().kind == ErrorKind::InvalidConfiguration);
        cr_expect(
            result.error().detail.find(fault.expected) != std::string::npos, "%s gave %s", fault.patch, result.error().detail.c_str());
    }
}

// Guards against a digest that depends on key order or white space, which would turn a resend into a conflict.
Test(configuration, the_digest_depends_on_the_content_only)
{
    const nlohmann::json one = nlohmann::json::parse(R"({"b": 1, "a": {"y": 0.1, "x": [1, 2]}})");
    const nlohmann::json same = nlohmann::json::parse(R"({ "a": {"x": [1,2], "y": 0.1}, "b": 1 })");
    const nlohmann::json other = nlohmann::json::parse(R"({"b": 2, "a": {"y": 0.1, "x": [1, 2]}})");
    cr_assert(configurationDigest(one) == configurationDigest(same));
    cr_assert(configurationDigest(one) != configurationDigest(other));
    cr_assert(configurationDigest(one) == configurationDigest(nlohmann::json::parse(canonicalText(one))));
}

// Guards against a digest that changes between versions or platforms; the value is xxhash64 of "{}" with seed 0.
Test(configuration, the_digest_is_fixed)
{
    cr_assert(
        configurationDigest(nlohmann::json::object()) == "2e1472b57af294d1", "%s", configurationDigest(nlohmann::json::object()).c_str());
}

// Guards against a stack overflow while the message about a deeply nested value from the network is written.
Test(configuration, a_deeply_nested_value_is_refused)
{
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    const Result<Configuration> result = parseConfiguration(nlohmann::json::parse("{\"entry\": {\"keepMs\": " + nested + "}}"));
    cr_assert(result.has_error());
    cr_assert(result.error().detail.ends_with("is an array"));
}

// Guards against a configuration that passes the check but doesn't fit into a frame between processes.
Test(configuration, a_document_above_the_size_limit_is_refused)
{
    nlohmann::json document = validDocument();
    for (int index = 0; index < 50'000; ++index) {
        document["services"]["service-" + std::to_string(index)] = {{"kind", "pool"}};
    }
    const Result<Configuration> result = parseConfiguration(document);
    cr_assert(result.has_error());
    cr_assert(result.error().detail.starts_with("(top level): must have at most 1048576 bytes"), "%s", result.error().detail.c_str());
}

// Guards against an exception on a document of another type.
Test(configuration, a_document_that_is_no_object_is_refused)
{
    const Result<Configuration> result = parseConfiguration(nlohmann::json::array());
    cr_assert(result.has_error());
    cr_assert(result.error().detail.starts_with("(top level): must be an object"));
}

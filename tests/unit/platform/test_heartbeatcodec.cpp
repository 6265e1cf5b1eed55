#include "platform/heartbeatcodec.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace Galenawell;

namespace {

nlohmann::json heartbeat()
{
    return nlohmann::json::parse(R"({"service":"s","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":3,"state":"ready",
        "warmup_remaining_ms":0,"sequence":4,"born":1783383150227})");
}

} // namespace

// Guards against mixed-up fields: incarnation and sequence decide which announcement is the newest.
Test(heartbeatcodec, every_field_reaches_the_record)
{
    const Result<BackendRecord> record = Platform::parseHeartbeat("i-1", heartbeat().dump());
    cr_assert(record.has_value());
    cr_assert(record.value().identity == "i-1" && record.value().key.service == "s" && record.value().key.address == "10.128.0.9:8080");
    cr_assert(record.value().dataCentre == "a" && record.value().slots == 3 && record.value().state == BackendState::Ready);
    cr_assert(record.value().sequence == 4 && record.value().incarnation == 1783383150227U);
    nlohmann::json draining = heartbeat();
    draining["state"] = "draining";
    draining.erase("born");
    cr_assert(Platform::parseHeartbeat("i-1", draining.dump()).value().state == BackendState::Draining);
    cr_assert(Platform::parseHeartbeat("i-1", draining.dump()).value().incarnation == 0);
}

// Guards against an invalid heartbeat that registers a server or ends the process.
Test(heartbeatcodec, missing_and_mistyped_fields_are_refused)
{
    for (const char *field : {"service", "address", "zone", "slots", "state", "sequence"}) {
        nlohmann::json missing = heartbeat();
        missing.erase(field);
        cr_assert(!Platform::parseHeartbeat("i-1", missing.dump()).has_value(), "%s", field);
        for (const char *wrong : {"null", "{}", "[1]", "-1", "\"\"", "1.5", "true"}) {
            nlohmann::json mistyped = heartbeat();
            mistyped[field] = nlohmann::json::parse(wrong);
            cr_assert(!Platform::parseHeartbeat("i-1", mistyped.dump()).has_value(), "%s %s", field, wrong);
        }
    }
    nlohmann::json unknownState = heartbeat();
    unknownState["state"] = "resting";
    cr_assert(!Platform::parseHeartbeat("i-1", unknownState.dump()).has_value());
    nlohmann::json mistypedBorn = heartbeat();
    mistypedBorn["born"] = "today";
    cr_assert(!Platform::parseHeartbeat("i-1", mistypedBorn.dump()).has_value());
    cr_assert(!Platform::parseHeartbeat("", heartbeat().dump()).has_value());
    cr_assert(!Platform::parseHeartbeat("i-1", "\x81\xa1").has_value());
}

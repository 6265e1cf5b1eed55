#include "platform/heartbeatcodec.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

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

// Guards against one odd heartbeat of another writer that ends the process, or that is answered with megabytes.
Test(heartbeatcodec, odd_documents_are_refused_with_a_short_reason)
{
    const std::string opening(100'000, '[');
    const std::string closing(100'000, ']');
    std::string objects;
    for (int depth = 0; depth < 50'000; ++depth) {
        objects += "{\"a\":";
    }
    const std::string valid = heartbeat().dump();
    const auto with = [](const std::string &field, const std::string &value) {
        nlohmann::json document = heartbeat();
        document.erase(field);
        std::string text = document.dump();
        return text.substr(0, text.size() - 1) + ",\"" + field + "\":" + value + "}";
    };
    std::vector<std::string> odd{opening, opening + closing, objects, std::string(1'000'000, 'x'), "\"" + std::string(1'000'000, 'x')};
    for (const char *field : {"sequence", "slots", "born"}) {
        for (const char *number : {"18446744073709551616", "1e999", "-1", "-9223372036854775809", "1.5", "9223372036854775808"}) {
            odd.push_back(with(field, number));
        }
        odd.push_back(with(field, opening + closing));
    }
    for (const char *port : {"0", "65536", "99999", "-1", "80808080808080808080", ""}) {
        odd.push_back(with("address", "\"10.0.0.1:" + std::string(port) + "\""));
    }
    for (const char *field : {"service", "zone", "address"}) {
        odd.push_back(with(field, "\"" + std::string(2'000'000, 'n') + "\""));
    }
    for (const std::string &text : odd) {
        const Result<BackendRecord> record = Platform::parseHeartbeat("i-1", text);
        cr_assert(!record.has_value(), "%.60s", text.c_str());
        cr_assert_lt(record.error().message().size(), 400);
    }
    cr_assert(!Platform::parseHeartbeat(std::string(2'000'000, 'i'), valid).has_value());
    // Fields that aren't used may hold anything, and the last of two equal keys counts.
    cr_assert(Platform::parseHeartbeat("i-1", with("extra", opening + closing)).has_value());
    cr_assert(Platform::parseHeartbeat("i-1", valid.substr(0, valid.size() - 1) + ",\"slots\":7}").value().slots == 7);
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

#include "galenawell/front/registrycodec.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

using namespace Galenawell;

namespace {

nlohmann::json announcement()
{
    return {{"service", "search"},
            {"group", "g1"},
            {"address", "127.0.0.1:9000"},
            {"dataCentre", "east"},
            {"incarnation", 7},
            {"sequence", 3},
            {"state", "ready"},
            {"epoch", 2},
            {"rangeBegin", "a"},
            {"rangeEnd", "m"},
            {"versions", {4, 5}},
            {"slots", 5},
            {"connections", 40}};
}

// Parses the document from text as the listener does, because C++ integer literals would become signed JSON numbers.
Result<BackendRecord> parseText(const nlohmann::json &document)
{
    return parseAnnouncement(nlohmann::json::parse(document.dump()));
}

} // namespace

// Guards against values of an announcement that are lost by parsing or replication.
Test(registry_codec, a_record_survives_parsing_and_replication)
{
    const BackendRecord record = parseText(announcement()).value();
    cr_assert_eq(toString(record.state), "ready");
    RegistryUpdate update;
    update.full = true;
    update.through = 12;
    update.changes.push_back(RegistryChange{.number = 12, .record = record, .removed = true});
    const RegistryUpdate copy = fromMessage(toMessage(update), "a", 9).value();
    cr_assert(copy.full && copy.through == 12 && copy.origin == "a" && copy.originIncarnation == 9);
    const RegistryChange &change = copy.changes.at(0);
    cr_assert(change.removed && change.number == 12);
    cr_assert(change.record.key == record.key && change.record.range == record.range && change.record.versions == record.versions);
    cr_assert(change.record.incarnation == 7 && change.record.sequence == 3 && change.record.epoch == 2);
    cr_assert(change.record.state == record.state && change.record.slots == 5 && change.record.connections == 40);
}

// Guards against an error that doesn't name the invalid field of an announcement.
Test(registry_codec, an_invalid_announcement_is_refused_with_the_name_of_the_field)
{
    const std::map<std::string, std::vector<nlohmann::json>> wrong{
        {"service", {1, nullptr}},
        {"group", {true}},
        {"address", {"localhost:9000", "127.0.0.1", 9000}},
        {"dataCentre", {nlohmann::json::array()}},
        {"incarnation", {-1, 1.5, "7", 9223372036854775808ULL}},
        {"sequence", {-1}},
        {"epoch", {"2"}},
        {"slots", {-1, 100'001}},
        {"connections", {4294967297ULL}},
        {"rangeBegin", {1}},
        {"rangeEnd", {nullptr}},
        {"state", {"Ready", "", 1}},
        {"versions", {3, {-1}, {"4"}, std::vector<int>(65, 1)}},
    };
    for (const auto &[field, values] : wrong) {
        for (const nlohmann::json &value : values) {
            nlohmann::json document = announcement();
            document[field] = value;
            const Result<BackendRecord> record = parseText(document);
            cr_assert(!record, "%s accepts %s", field.c_str(), value.dump().c_str());
            cr_assert(record.error().detail.starts_with("/" + field + " "), "%s", record.error().detail.c_str());
        }
    }
    for (const std::string field : {"service", "address", "dataCentre", "state"}) {
        nlohmann::json document = announcement();
        document.erase(field);
        const Result<BackendRecord> record = parseText(document);
        cr_assert(!record && record.error().detail.starts_with("/" + field + " "));
    }
    cr_assert(!parseText(nlohmann::json::array()));
}

// Guards against converting a state of a later protocol version to an arbitrary one.
Test(registry_codec, an_unknown_state_in_a_change_is_refused)
{
    Wire::RegistryUpdateMessage message;
    message.changes.emplace_back();
    for (const std::int32_t state : {-1, 4}) {
        message.changes[0].entry.state = state;
        cr_assert(!fromMessage(message, "a", 1));
    }
}

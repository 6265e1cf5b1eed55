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

// Changes 1 to n of servers at the addresses.
RegistryUpdate updateWith(const std::vector<std::string> &addresses)
{
    RegistryUpdate update;
    for (const std::string &address : addresses) {
        update.changes.push_back(RegistryChange{.number = ++update.through});
        update.changes.back().record = parseText(announcement()).value();
        update.changes.back().record.key.address = address;
    }
    return update;
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
    const RegistryUpdate copy = fromMessage(toMessage(update), "a", 9);
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
    Wire::RegistryUpdateMessage message = toMessage(updateWith({"127.0.0.1:9000"}));
    for (const std::int32_t state : {-1, 4}) {
        message.changes[0].entry.state = state;
        cr_assert(!fromMessage(message, "a", 1).changes[0].defect.empty());
    }
}

// Guards against one odd entry that keeps a process from following the others: it takes its number and nothing else.
Test(registry_codec, an_unusable_entry_is_left_out_and_the_others_are_applied)
{
    using Spoil = void (*)(Wire::BackendEntry &);
    const std::vector<Spoil> spoils{
        [](Wire::BackendEntry &entry) { entry.address = "127.0.0.1:0"; },
        [](Wire::BackendEntry &entry) { entry.address = "127.0.0.1:65536"; },
        [](Wire::BackendEntry &entry) { entry.address = "127.0.0.1:99999"; },
        [](Wire::BackendEntry &entry) { entry.address = std::string(2'000'000, '['); },
        [](Wire::BackendEntry &entry) { entry.serviceName = std::string(2'000'000, 's'); },
        [](Wire::BackendEntry &entry) { entry.incarnation = -1; },
        [](Wire::BackendEntry &entry) { entry.slots = std::numeric_limits<std::int32_t>::min(); },
        [](Wire::BackendEntry &entry) { entry.versions.assign(100'000, 1); },
        [](Wire::BackendEntry &entry) { entry.state = 77; },
    };
    for (const Spoil spoil : spoils) {
        for (const bool full : {false, true}) {
            RegistryUpdate update = updateWith({"127.0.0.1:9000", "127.0.0.1:9001", "127.0.0.1:9002"});
            update.full = full;
            Wire::RegistryUpdateMessage message = toMessage(update);
            spoil(message.changes[1].entry);
            BackendRegistry registry(RegistryOptions{.self = "front", .incarnation = 1});
            const TimePoint now = TimePoint(std::chrono::hours(1));
            registry.renewOrigin("control", 1, now);
            const RegistryUpdate received = fromMessage(message, "control", 1);
            const std::optional<std::string> defects = describeDefects(received);
            cr_assert(defects && defects->size() < 300 && defects->find("change 2") != std::string::npos);
            cr_assert(registry.applyUpdate(received, now));
            cr_assert_eq(registry.visible().size(), 2);
            // The next change is applied, too.
            RegistryUpdate next = updateWith({"127.0.0.1:9003"});
            next.through = next.changes[0].number = 4;
            cr_assert(registry.applyUpdate(fromMessage(toMessage(next), "control", 1), now));
            cr_assert_eq(registry.visible().size(), 3);
        }
    }
}

#include "galenawell/front/registrycodec.h"

#include "galenawell/core/endpoint.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>

namespace Galenawell {

namespace {

constexpr std::array<std::string_view, 4> stateNames{"starting", "ready", "draining", "stopped"};
constexpr std::size_t maximumVersions = 64;
constexpr std::uint64_t maximumCapacity = 100'000;
constexpr std::size_t maximumNameBytes = 1024;

Error fieldError(const std::string &field, const std::string &allowed)
{
    return makeError(ErrorKind::MalformedJson, "/" + field + " must be " + allowed);
}

Result<std::string> readString(const nlohmann::json &document, const std::string &field, bool required)
{
    const auto found = document.find(field);
    if (found == document.end() && !required) {
        return std::string();
    }
    if (found == document.end() || !found->is_string()) {
        return fieldError(field, "a string");
    }
    return found->get<std::string>();
}

Result<std::uint64_t> readNumber(const nlohmann::json &document, const std::string &field, std::uint64_t fallback, std::uint64_t maximum)
{
    const auto found = document.find(field);
    if (found == document.end()) {
        return fallback;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > maximum) {
        return fieldError(field, "an integer from 0 to " + std::to_string(maximum));
    }
    return found->get<std::uint64_t>();
}

Wire::BackendEntry toMessage(const BackendRecord &record)
{
    Wire::BackendEntry entry;
    entry.serviceName = record.key.service;
    entry.group = record.key.group;
    entry.address = record.key.address;
    entry.dataCentre = record.dataCentre;
    entry.incarnation = static_cast<std::int64_t>(record.incarnation);
    entry.sequence = static_cast<std::int64_t>(record.sequence);
    entry.state = static_cast<std::int32_t>(record.state);
    entry.epoch = static_cast<std::int64_t>(record.epoch);
    entry.rangeBegin = record.range.begin;
    entry.rangeEnd = record.range.end;
    entry.versions.assign(record.versions.begin(), record.versions.end());
    entry.slots = static_cast<std::int32_t>(record.slots);
    entry.connections = static_cast<std::int32_t>(record.connections);
    if (!record.identity.empty()) {
        entry.__set_identity(record.identity);
    }
    return entry;
}

// What makes the entry unusable; empty for a usable one.
std::string defectOf(const Wire::BackendEntry &entry)
{
    const auto isName = [](const std::string &name) { return name.size() <= maximumNameBytes; };
    if (entry.state < 0 || entry.state >= static_cast<std::int32_t>(stateNames.size())) {
        return "unknown state " + std::to_string(entry.state);
    }
    if (!isName(entry.serviceName) || !isName(entry.group) || !isName(entry.dataCentre) || !isName(entry.identity)
        || !isName(entry.rangeBegin) || !isName(entry.rangeEnd)) {
        return "a name is longer than " + std::to_string(maximumNameBytes) + " bytes";
    }
    if (!isName(entry.address) || !parseEndpoint(entry.address)) {
        return "the address isn't an IP number and a port";
    }
    if (entry.incarnation < 0 || entry.sequence < 0 || entry.epoch < 0 || entry.slots < 0 || entry.connections < 0) {
        return "a number is negative";
    }
    if (entry.versions.size() > maximumVersions) {
        return "more than " + std::to_string(maximumVersions) + " versions";
    }
    return {};
}

BackendRecord fromMessage(const Wire::BackendEntry &entry)
{
    BackendRecord record;
    record.key = ReplicaKey{.service = entry.serviceName, .group = entry.group, .address = entry.address};
    record.dataCentre = entry.dataCentre;
    record.incarnation = static_cast<Incarnation>(entry.incarnation);
    record.sequence = static_cast<std::uint64_t>(entry.sequence);
    record.state = static_cast<BackendState>(entry.state);
    record.epoch = static_cast<std::uint64_t>(entry.epoch);
    record.range = KeyRange{.begin = entry.rangeBegin, .end = entry.rangeEnd};
    record.versions.insert(entry.versions.begin(), entry.versions.end());
    record.slots = static_cast<std::uint32_t>(entry.slots);
    record.connections = static_cast<std::uint32_t>(entry.connections);
    record.identity = entry.identity;
    return record;
}

Status readState(const nlohmann::json &document, BackendRecord &record)
{
    BOOST_OUTCOME_TRY(const std::string name, readString(document, "state", true));
    for (std::size_t index = 0; index < stateNames.size(); ++index) {
        if (stateNames.at(index) == name) {
            record.state = static_cast<BackendState>(index);
            return boost::outcome_v2::success();
        }
    }
    return fieldError("state", "one of starting, ready, draining, stopped");
}

Status readVersions(const nlohmann::json &document, BackendRecord &record)
{
    const auto found = document.find("versions");
    if (found == document.end()) {
        return boost::outcome_v2::success();
    }
    if (!found->is_array() || found->size() > maximumVersions) {
        return fieldError("versions", "an array of at most " + std::to_string(maximumVersions) + " integers");
    }
    for (const nlohmann::json &version : *found) {
        if (!version.is_number_unsigned()) {
            return fieldError("versions", "an array of non-negative integers");
        }
        record.versions.insert(version.get<std::uint64_t>());
    }
    return boost::outcome_v2::success();
}

} // namespace

std::string_view toString(BackendState state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

Wire::RegistryUpdateMessage toMessage(const RegistryUpdate &update)
{
    Wire::RegistryUpdateMessage message;
    message.full = update.full;
    message.through = static_cast<std::int64_t>(update.through);
    for (const RegistryChange &change : update.changes) {
        Wire::BackendChange wire;
        wire.number = static_cast<std::int64_t>(change.number);
        wire.entry = toMessage(change.record);
        wire.removed = change.removed;
        message.changes.push_back(std::move(wire));
    }
    for (const RetiredServer &server : update.retired) {
        Wire::RetiredServerMessage wire;
        wire.serviceName = server.key.service;
        wire.group = server.key.group;
        wire.address = server.key.address;
        wire.identity = server.identity;
        wire.incarnation = static_cast<std::int64_t>(server.incarnation);
        wire.state = static_cast<std::int32_t>(server.state);
        wire.retentionMs = server.retention.count();
        message.retired.push_back(std::move(wire));
    }
    message.__isset.retired = !message.retired.empty();
    return message;
}

RegistryUpdate fromMessage(const Wire::RegistryUpdateMessage &message, const InstanceName &origin, Incarnation incarnation)
{
    RegistryUpdate update;
    update.origin = origin;
    update.originIncarnation = incarnation;
    update.full = message.full;
    update.through = static_cast<std::uint64_t>(message.through);
    for (const Wire::BackendChange &wire : message.changes) {
        RegistryChange change;
        change.number = static_cast<std::uint64_t>(wire.number);
        change.defect = defectOf(wire.entry);
        if (change.defect.empty() || wire.removed) {
            change.record = fromMessage(wire.entry);
        }
        change.removed = wire.removed;
        update.changes.push_back(std::move(change));
    }
    for (const Wire::RetiredServerMessage &wire : message.retired) {
        const auto state = static_cast<BackendState>(wire.state);
        if (state == BackendState::Draining || state == BackendState::Stopped) {
            update.retired.push_back({.key = {.service = wire.serviceName, .group = wire.group, .address = wire.address},
                                      .identity = wire.identity,
                                      .incarnation = static_cast<Incarnation>(wire.incarnation),
                                      .state = state,
                                      .retention = std::chrono::milliseconds(std::max<std::int64_t>(wire.retentionMs, 0))});
        }
    }
    return update;
}

std::optional<std::string> describeDefects(const RegistryUpdate &update)
{
    const auto isDefective = [](const RegistryChange &change) { return !change.defect.empty(); };
    const auto first = std::ranges::find_if(update.changes, isDefective);
    if (first == update.changes.end()) {
        return std::nullopt;
    }
    const auto count = std::ranges::count_if(update.changes, isDefective);
    return std::to_string(count) + " of " + std::to_string(update.changes.size()) + " backend servers from " + update.origin
        + " are left out, the first is change " + std::to_string(first->number) + ": " + first->defect;
}

Wire::CrashEvidenceMessage toMessage(const CrashEvidence &evidence)
{
    Wire::CrashEvidenceMessage message;
    message.digest = evidence.digest;
    message.serviceName = evidence.replica.service;
    message.group = evidence.replica.group;
    message.address = evidence.replica.address;
    message.replicaIncarnation = static_cast<std::int64_t>(evidence.replicaIncarnation);
    return message;
}

CrashEvidence fromMessage(const Wire::CrashEvidenceMessage &message)
{
    return CrashEvidence{.digest = message.digest,
                         .replica = ReplicaKey{.service = message.serviceName, .group = message.group, .address = message.address},
                         .replicaIncarnation = static_cast<Incarnation>(message.replicaIncarnation)};
}

Wire::LimitStatementMessage toMessage(const LimitStatement &statement)
{
    Wire::LimitStatementMessage message;
    message.address = statement.server.address;
    message.incarnation = static_cast<std::int64_t>(statement.server.incarnation);
    message.order = static_cast<std::int64_t>(statement.limit.order);
    if (statement.limit.rate) {
        message.__set_perThousandSeconds(statement.limit.rate->perThousandSeconds);
    }
    return message;
}

LimitStatement fromMessage(const Wire::LimitStatementMessage &message)
{
    LimitStatement statement{.server = {.address = message.address, .incarnation = static_cast<Incarnation>(message.incarnation)}};
    statement.limit.order = static_cast<std::uint64_t>(std::max<std::int64_t>(message.order, 0));
    if (message.__isset.perThousandSeconds) {
        statement.limit.rate = RequestRate{.perThousandSeconds = std::max<std::int64_t>(message.perThousandSeconds, 0)};
    }
    return statement;
}

Wire::LimitReportMessage toMessage(const LimitReport &report)
{
    Wire::LimitReportMessage message;
    message.statement = toMessage(report.statement);
    message.demandPerThousandSeconds = RequestRate::perSecond(report.demand.perSecond).perThousandSeconds;
    message.left = static_cast<std::int32_t>(report.demand.left);
    if (report.demand.unused > 0) {
        message.__set_unused(static_cast<std::int32_t>(report.demand.unused));
    }
    return message;
}

LimitReport fromMessage(const Wire::LimitReportMessage &message)
{
    const RequestRate demand{.perThousandSeconds = std::max<std::int64_t>(message.demandPerThousandSeconds, 0)};
    return LimitReport{.statement = fromMessage(message.statement),
                       .demand = {.perSecond = demand.perSecond(),
                                  .left = static_cast<unsigned>(std::max(message.left, 0)),
                                  .unused = static_cast<unsigned>(std::max(message.unused, 0))}};
}

Wire::LimitGrantMessage toMessage(const LimitGrant &grant, Duration sinceEarlier)
{
    Wire::LimitGrantMessage message;
    message.address = grant.server.address;
    message.incarnation = static_cast<std::int64_t>(grant.server.incarnation);
    message.requests = static_cast<std::int32_t>(grant.requests);
    message.endMs = toMilliseconds(sinceEarlier + grant.lifetime).count();
    return message;
}

LimitGrant fromMessage(const Wire::LimitGrantMessage &message)
{
    return LimitGrant{.server = {.address = message.address, .incarnation = static_cast<Incarnation>(message.incarnation)},
                      .requests = static_cast<unsigned>(std::max(message.requests, 0)),
                      .lifetime = std::chrono::milliseconds(message.endMs)};
}

Result<BackendRecord> parseAnnouncement(const nlohmann::json &document)
{
    if (!document.is_object()) {
        return makeError(ErrorKind::MalformedJson, "an announcement must be a JSON object");
    }
    BackendRecord record;
    BOOST_OUTCOME_TRY(record.key.service, readString(document, "service", true));
    BOOST_OUTCOME_TRY(record.key.group, readString(document, "group", false));
    BOOST_OUTCOME_TRY(record.key.address, readString(document, "address", true));
    if (!parseEndpoint(record.key.address)) {
        return fieldError("address", "an IP number and a port, such as 192.0.2.7:9000");
    }
    BOOST_OUTCOME_TRY(record.dataCentre, readString(document, "dataCentre", true));
    constexpr std::uint64_t maximumInteger = std::numeric_limits<std::int64_t>::max();
    BOOST_OUTCOME_TRY(record.incarnation, readNumber(document, "incarnation", 0, maximumInteger));
    BOOST_OUTCOME_TRY(record.sequence, readNumber(document, "sequence", 0, maximumInteger));
    BOOST_OUTCOME_TRY(record.epoch, readNumber(document, "epoch", 0, maximumInteger));
    BOOST_OUTCOME_TRY(const std::uint64_t slots, readNumber(document, "slots", 1, maximumCapacity));
    BOOST_OUTCOME_TRY(const std::uint64_t connections, readNumber(document, "connections", 1, maximumCapacity));
    record.slots = static_cast<std::uint32_t>(slots);
    record.connections = static_cast<std::uint32_t>(connections);
    BOOST_OUTCOME_TRY(record.range.begin, readString(document, "rangeBegin", false));
    BOOST_OUTCOME_TRY(record.range.end, readString(document, "rangeEnd", false));
    BOOST_OUTCOME_TRY(readState(document, record));
    BOOST_OUTCOME_TRY(readVersions(document, record));
    return record;
}

} // namespace Galenawell

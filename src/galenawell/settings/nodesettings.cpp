#include "galenawell/settings/nodesettings.h"

#include "galenawell/core/endpoint.h"
#include "galenawell/settings/objectreader.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Galenawell {

namespace {

constexpr std::array<Choice<ProcessRole>, 2> roles{{{"front", ProcessRole::Front}, {"control", ProcessRole::Control}}};
constexpr std::array<Choice<std::string_view>, 4> logLevels{{{"debug", "debug"}, {"info", "info"}, {"warn", "warn"}, {"error", "error"}}};
constexpr DurationRange anyDuration{.minimum = std::chrono::milliseconds(1), .maximum = std::chrono::hours(1)};
constexpr std::uint16_t defaultMetricsPort = 9464;
constexpr IntegerRange memoryRange{.minimum = std::uint64_t(1) << 20, .maximum = std::uint64_t(1) << 40};
// Tolerates lost or late renewals; fronts detect crashes sooner through their own requests.
constexpr int heartbeatsPerLease = 3;
// Longer than the longest interval between two messages from a reachable control process.
constexpr std::chrono::milliseconds minimumLease{2000};

bool isTextWithinLimit(const std::string &text)
{
    return !text.empty() && text.size() <= 4096;
}

const TextRule textRule{.accepts = isTextWithinLimit, .allowed = "a text of 1 to 4096 bytes"};
const TextRule keyRule{.accepts = isTextWithinLimit, .allowed = "a text of 1 to 4096 bytes", .secret = true};

// Removes empty texts and nulls, which templates leave where a role has no such value.
nlohmann::json withoutEmptyValues(const nlohmann::json &document)
{
    nlohmann::json result = nlohmann::json::object();
    for (const auto &[key, value] : document.items()) {
        const bool emptyText = value.is_string() && value.get_ref<const std::string &>().empty();
        if (!emptyText && !value.is_null()) {
            result[key] = value;
        }
    }
    return result;
}

std::vector<NodeSettings::Endpoint> readSeeds(const nlohmann::json &document, std::uint16_t port, FirstError &firstError)
{
    std::vector<NodeSettings::Endpoint> seeds;
    const auto found = document.find("seeds");
    if (found == document.end() || !found->is_array()) {
        firstError.add("/seeds", "must be an array of addresses of control processes");
        return seeds;
    }
    for (const nlohmann::json &seed : *found) {
        const std::optional<NodeSettings::Endpoint> endpoint = seed.is_string() ? parseEndpoint(seed.get<std::string>()) : std::nullopt;
        if (!endpoint) {
            firstError.add("/seeds", "must contain addresses such as 192.0.2.7:9000");
            continue;
        }
        seeds.emplace_back(endpoint->address(), port);
    }
    return seeds;
}

void readTimes(ObjectReader &reader, NodeSettings &settings)
{
    reader.duration("heartbeatIntervalMs", settings.heartbeatInterval, anyDuration);
    reader.duration("directoryKeepMs", settings.directoryCacheDuration, anyDuration);
    reader.duration("gracePeriodMs", settings.gracePeriod, anyDuration);
    reader.duration("extraLoadWindowMs", settings.extraLoadWindow, anyDuration);
    reader.number("extraLoadPercent", settings.extraLoadPercent, {.minimum = 0, .maximum = 100});
    reader.number("extraLoadSlack", settings.extraLoadSlack, {.minimum = 0, .maximum = 1e6});
}

void readAddresses(ObjectReader &reader, NodeSettings &settings)
{
    reader.require("peerAddress", "an IP number and a port");
    reader.endpoint("peerAddress", settings.peerAddress);
    settings.metricsAddress = {settings.peerAddress.address(), defaultMetricsPort};
    reader.endpoint("metricsAddress", settings.metricsAddress);
    reader.endpoint("callerAddress", settings.callerAddress);
    reader.endpoint("readinessAddress", settings.readinessAddress);
    reader.endpoint("controlAddress", settings.controlAddress);
    reader.endpoint("directoryAddress", settings.directoryAddress);
}

void checkRole(const NodeSettings &settings, FirstError &firstError)
{
    if (settings.role == ProcessRole::Front && !settings.callerAddress) {
        firstError.add("/callerAddress", "is missing; a front needs the address that callers use");
    }
    if (settings.role == ProcessRole::Control && !settings.controlAddress) {
        firstError.add("/controlAddress", "is missing; a control process needs the address for announcements and configurations");
    }
    if (settings.role == ProcessRole::Control && settings.dataFolder.empty()) {
        firstError.add("/dataFolder", "is missing; a control process keeps its state there");
    }
}

} // namespace

InstanceName NodeSettings::peerName() const
{
    return toString(this->peerAddress);
}

std::chrono::milliseconds NodeSettings::serverLease() const
{
    return std::max<std::chrono::milliseconds>(this->heartbeatInterval * heartbeatsPerLease, minimumLease);
}

std::vector<InstanceName> NodeSettings::seedNames() const
{
    std::vector<InstanceName> names;
    for (const Endpoint &seed : this->seeds) {
        if (seed != this->peerAddress) {
            names.push_back(toString(seed));
        }
    }
    return names;
}

bool NodeSettings::isSeed() const
{
    return std::ranges::find(this->seeds, this->peerAddress) != this->seeds.end();
}

Result<NodeSettings> parseNodeSettings(const std::string &text)
{
    const nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false, true);
    if (!parsed.is_object()) {
        return makeError(ErrorKind::MalformedJson, "settings must be a JSON object");
    }
    const nlohmann::json document = withoutEmptyValues(parsed);
    FirstError firstError(ErrorKind::InvalidSetting, nullptr);
    NodeSettings settings;
    ObjectReader reader(document, "", firstError);
    reader.require("role", "front or control");
    reader.choice("role", settings.role, std::span<const Choice<ProcessRole>>(roles));
    reader.require("instance", "a name");
    reader.text("instance", settings.instance, textRule);
    reader.require("dataCentre", "a name");
    reader.text("dataCentre", settings.dataCentre, textRule);
    reader.require("peerKey", "the key that all processes of the installation share");
    reader.text("peerKey", settings.peerKey, keyRule);
    std::string folder;
    reader.text("dataFolder", folder, textRule);
    settings.dataFolder = folder;
    reader.boolean("foundInstallation", settings.foundInstallation);
    reader.integer("toleratedLosses", settings.toleratedLosses, {.minimum = 0, .maximum = 10});
    reader.integer("maximumConnections", settings.maximumConnections, {.minimum = 1, .maximum = 1'000'000});
    reader.integer("maximumPeerConnections", settings.maximumPeerConnections, {.minimum = 16, .maximum = 1'000'000});
    reader.integer("requestMemoryBytes", settings.requestMemoryBytes, memoryRange);
    reader.integer("replyMemoryBytes", settings.replyMemoryBytes, memoryRange);
    std::string_view level = settings.logLevel;
    reader.choice("logLevel", level, std::span<const Choice<std::string_view>>(logLevels));
    settings.logLevel = std::string(level);
    readAddresses(reader, settings);
    readTimes(reader, settings);
    if (!firstError.failed()) {
        settings.seeds = readSeeds(document, settings.peerAddress.port(), firstError);
    }
    if (!firstError.failed()) {
        checkRole(settings, firstError);
    }
    if (firstError.failed()) {
        return firstError.error();
    }
    return settings;
}

Result<NodeSettings> readNodeSettings(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    if (!stream) {
        return makeError(ErrorKind::UnreadableFile, "the settings file " + file.string() + " can't be read");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    Result<NodeSettings> settings = parseNodeSettings(text.str());
    if (!settings) {
        return makeError(settings.error().kind, file.string() + ": " + settings.error().detail);
    }
    return settings;
}

} // namespace Galenawell

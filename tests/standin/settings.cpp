#include "settings.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace Galenawell::StandIn {

namespace {

using Json = nlohmann::json;

ServiceSettings parseService(const Json &json)
{
    ServiceSettings service;
    service.name = json.at("name").get<std::string>();
    service.kind = json.at("kind").get<std::string>() == "pool" ? ServiceKind::Pool : ServiceKind::Sharded;
    service.groups = service.kind == ServiceKind::Pool ? 1 : json.value("groups", service.groups);
    service.replicasPerGroup = json.value("replicas", service.replicasPerGroup);
    service.firstPort = json.value("firstPort", service.firstPort);
    service.slots = json.value("slots", service.slots);
    service.queueLength = json.value("queueLength", service.queueLength);
    service.connections = json.value("connections", service.connections);
    service.connectDelay = std::chrono::milliseconds(json.value("connectDelayMs", 0));
    service.startingTime = std::chrono::milliseconds(json.value("startingMs", 0));
    const Json serviceTime = json.value("serviceTime", Json::object());
    service.medianServiceMilliseconds = serviceTime.value("medianMs", service.medianServiceMilliseconds);
    service.serviceTimeSigma = serviceTime.value("sigma", service.serviceTimeSigma);
    const Json stragglers = json.value("stragglers", Json::object());
    service.stragglers = stragglers.value("count", service.stragglers);
    service.stragglerFactor = stragglers.value("factor", service.stragglerFactor);
    service.versions = json.value("versions", service.versions);
    service.epoch = json.value("epoch", service.kind == ServiceKind::Pool ? std::uint64_t{0} : service.epoch);
    service.keys = json.value("keys", service.keys);
    return service;
}

Settings parseSettings(const Json &json)
{
    Settings settings;
    settings.ip = json.value("ip", settings.ip);
    settings.controlPort = json.value("controlPort", settings.controlPort);
    settings.seed = json.value("seed", settings.seed);
    settings.dataCentres = json.at("dataCentres").get<std::vector<std::string>>();
    settings.fronts = json.at("fronts").get<std::vector<std::string>>();
    for (const Json &service : json.at("services")) {
        settings.services.push_back(parseService(service));
    }
    return settings;
}

Status checkSettings(const Settings &settings)
{
    if (settings.dataCentres.empty()) {
        return makeError(ErrorKind::InvalidSetting, "/dataCentres is empty; it needs at least one name");
    }
    for (const ServiceSettings &service : settings.services) {
        const bool countsArePositive = service.groups > 0 && service.replicasPerGroup > 0 && service.slots > 0 && service.keys > 0;
        // With more groups the range boundaries couldn't move between epochs.
        if (!countsArePositive || service.groups > 169) {
            return makeError(ErrorKind::InvalidSetting, "service " + service.name + " needs positive counts and at most 169 groups");
        }
    }
    return boost::outcome_v2::success();
}

} // namespace

Result<Settings> readSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return makeError(ErrorKind::UnreadableFile, "cannot open " + path);
    }
    try {
        Settings settings = parseSettings(Json::parse(file, nullptr, true, true));
        const Status status = checkSettings(settings);
        if (!status) {
            return status.error();
        }
        return settings;
    } catch (const Json::exception &exception) {
        return makeError(ErrorKind::InvalidSetting, path + ": " + exception.what());
    }
}

} // namespace Galenawell::StandIn

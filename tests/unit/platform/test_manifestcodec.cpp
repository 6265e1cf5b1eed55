#include "platform/manifestcodec.h"

#include <criterion/criterion.h>
#include <functional>
#include <nlohmann/json.hpp>

using namespace Galenawell;

namespace {

nlohmann::json manifest()
{
    return nlohmann::json::parse(R"({"version":7,"routes":[
        {"name":"wide","host":"h.example","path_prefix":"/w/","kind":"safe","timeout_ms":1200,"target_latency_ms":120,"priority":1,
         "fanout_services":["s1","s2"],"max_attempts":2,"result_limit":10,"minimum_success_share":0.89},
        {"name":"one","host":"h.example","path_prefix":"/o/","kind":"unsafe","timeout_ms":5000,"target_latency_ms":1000,"priority":2,
         "service":"s3","max_attempts":3},
        {"name":"split","host":"h.example","path_prefix":"/s/","kind":"safe","timeout_ms":5000,
         "traffic_split":[{"service":"s1","weight":3},{"service":"s3","weight":1}]}],
        "services":[{"name":"s1","health_check_path":"/health","connection_limit":31,"protocol":"h1","use_tls":false},
                    {"name":"s2","connection_limit":31},{"name":"s3","connection_limit":43}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
}

bool refused(const nlohmann::json &document)
{
    return !Platform::parseManifest(document.dump()).has_value();
}

// Every place of a document, as JSON pointers.
std::vector<nlohmann::json::json_pointer> placesOf(const nlohmann::json &document)
{
    std::vector<nlohmann::json::json_pointer> places;
    const std::function<void(const nlohmann::json &, const nlohmann::json::json_pointer &)> visit
        = [&](const nlohmann::json &value, const auto &pointer) {
              places.push_back(pointer);
              if (value.is_object()) {
                  for (const auto &[key, child] : value.items()) {
                      visit(child, pointer / key);
                  }
              } else if (value.is_array()) {
                  for (std::size_t index = 0; index < value.size(); ++index) {
                      visit(value[index], pointer / index);
                  }
              }
          };
    visit(document, nlohmann::json::json_pointer());
    return places;
}

// Fields that the adapter doesn't use may hold anything.
bool isUsed(const nlohmann::json::json_pointer &place)
{
    const std::string text = place.to_string();
    return !text.ends_with("/health_check_path") && !text.ends_with("/protocol") && !text.ends_with("/use_tls");
}

} // namespace

// Guards against mixed-up fields.
Test(manifestcodec, every_field_reaches_the_configuration)
{
    const Result<RouteConfiguration> parsed = Platform::parseManifest(manifest().dump());
    cr_assert(parsed.has_value(), "%s", parsed.has_value() ? "" : parsed.error().detail.c_str());
    const RouteConfiguration &configuration = parsed.value();
    cr_assert(configuration.number() == 7);
    const Route *wide = configuration.find("h.example", "/w/1");
    cr_assert(wide->idempotent && wide->isScatterGather() && wide->groups.size() == 2 && wide->recordLimit == 10
              && wide->maximumExecutions == 2);
    cr_assert(wide->timeout == std::chrono::milliseconds(1200) && wide->latencyObjective == std::chrono::milliseconds(120));
    cr_assert(wide->rank == 1 && wide->minimumGroups() == 2);
    const Route *one = configuration.find("h.example", "/o/1");
    cr_assert(!one->idempotent && !one->isScatterGather() && one->services.front().service == "s3" && one->priority() == Priority::Bulk);
    const Route *split = configuration.find("h.example", "/s/1");
    cr_assert(split->services.size() == 2 && split->services[0].weight == 3 && split->latencyObjective == split->timeout);
    cr_assert(configuration.services().at("s3").connectionLimit == 43);
    cr_assert(configuration.limits().idleTimeout == std::chrono::seconds(15));
}

// Guards against accepting an invalid document, for each kind that operators may send.
Test(manifestcodec, invalid_documents_are_refused)
{
    const std::string text = manifest().dump();
    for (std::size_t length = 0; length < text.size(); length += 7) {
        cr_assert(!Platform::parseManifest(text.substr(0, length)).has_value());
    }
    nlohmann::json unknownService = manifest();
    unknownService["routes"][1]["service"] = "nobody";
    cr_assert(refused(unknownService));
    nlohmann::json duplicateRoute = manifest();
    duplicateRoute["routes"][1]["path_prefix"] = "/w/";
    cr_assert(refused(duplicateRoute));
    nlohmann::json noWeight = manifest();
    noWeight["routes"][2]["traffic_split"][0]["weight"] = 0;
    noWeight["routes"][2]["traffic_split"][1]["weight"] = 0;
    cr_assert(refused(noWeight));
    nlohmann::json noTimeout = manifest();
    noTimeout["routes"][0]["timeout_ms"] = 0;
    cr_assert(refused(noTimeout));
    nlohmann::json wrongType = manifest();
    wrongType["routes"][0]["timeout_ms"] = "soon";
    cr_assert(refused(wrongType));
    nlohmann::json noVersion = manifest();
    noVersion.erase("version");
    cr_assert(refused(noVersion));
    cr_assert(refused(nlohmann::json::array()));
}

// Guards against a wrong type that is taken for an empty list, an empty object or a default: a configuration without routes
// answers every request with 404.
Test(manifestcodec, a_value_of_another_type_is_refused_at_every_place)
{
    const std::vector<nlohmann::json> values{
        nullptr, true, -1, 0.5, 1e300, "text", "", nlohmann::json::array(), nlohmann::json::object(), {1}, {nullptr}, {{"a", 1}}};
    const nlohmann::json valid = manifest();
    for (const nlohmann::json::json_pointer &place : placesOf(valid)) {
        for (const nlohmann::json &value : values) {
            nlohmann::json changed = valid;
            // Other values of the same type are covered by the rules for that field.
            const bool sameType = value.type() == valid.at(place).type() || (value.is_number() && valid.at(place).is_number());
            if (!isUsed(place) || sameType) {
                continue;
            }
            changed[place] = value;
            const Result<RouteConfiguration> parsed = Platform::parseManifest(changed.dump());
            cr_assert(!parsed.has_value(), "%s with %s is accepted", place.to_string().c_str(), value.dump().c_str());
            cr_assert(parsed.error().detail.find(place.to_string()) != std::string::npos,
                      "%s isn't named in: %s",
                      place.to_string().c_str(),
                      parsed.error().detail.c_str());
        }
    }
}

// Guards against numbers out of range that wrap around, and against a version that processes can't pass on to each other.
Test(manifestcodec, a_number_out_of_range_is_refused_at_every_place)
{
    const nlohmann::json valid = manifest();
    for (const nlohmann::json::json_pointer &place : placesOf(valid)) {
        if (!valid.at(place).is_number()) {
            continue;
        }
        for (const nlohmann::json &value : std::vector<nlohmann::json>{-1, -0.5, 1e300, std::uint64_t(1) << 63U}) {
            nlohmann::json changed = valid;
            changed[place] = value;
            cr_assert(refused(changed), "%s with %s is accepted", place.to_string().c_str(), value.dump().c_str());
        }
    }
    nlohmann::json largest = valid;
    largest["version"] = (std::uint64_t(1) << 63U) - 1;
    cr_assert(Platform::parseManifest(largest.dump()).value().number() == (std::uint64_t(1) << 63U) - 1);
}

// Guards against a configuration that is accepted although a required part is absent.
Test(manifestcodec, an_absent_required_field_is_refused_by_name)
{
    const std::vector<std::string> required{"/version",
                                            "/routes",
                                            "/services",
                                            "/routes/0/name",
                                            "/routes/0/host",
                                            "/routes/0/path_prefix",
                                            "/routes/0/kind",
                                            "/routes/0/timeout_ms",
                                            "/routes/2/traffic_split/0/service",
                                            "/routes/2/traffic_split/1/weight",
                                            "/services/1/name"};
    for (const std::string &place : required) {
        const nlohmann::json::json_pointer pointer(place);
        nlohmann::json changed = manifest();
        changed[pointer.parent_pointer()].erase(pointer.back());
        const Result<RouteConfiguration> parsed = Platform::parseManifest(changed.dump());
        cr_assert(!parsed.has_value(), "a configuration without %s is accepted", place.c_str());
        cr_assert(parsed.error().detail.find(place) != std::string::npos, "%s", parsed.error().detail.c_str());
    }
}

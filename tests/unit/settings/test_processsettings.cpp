#include "galenawell/settings/objectreader.h"
#include "galenawell/settings/processsettings.h"
#include "unit/settings/temporaryfolder.h"

#include <criterion/criterion.h>

using namespace Galenawell;

namespace {

const char *const frontSettings = R"({
    "installation": "test", "instance": "front-1", "role": "front", "dataCentre": "north",
    "peerAddress": "192.0.2.1:7000", "operatorAddress": "192.0.2.1:7001",
    "callerAddress": "192.0.2.1:7002", "backendAddress": "[2001:db8::1]:7003",
    "peerKey": "0123456789abcdef0123456789abcdef", "operatorToken": "0123456789abcdef",
    "peers": [
        {"instance": "front-1", "role": "front", "dataCentre": "north", "peerAddress": "192.0.2.1:7000", "callerAddress": "192.0.2.1:7002"},
        {"instance": "control-1", "role": "control", "dataCentre": "south", "peerAddress": "192.0.2.2:7000"}
    ]})";

const char *const controlPatch = R"({
    "instance": "control-1", "role": "control", "dataCentre": "south", "peerAddress": "192.0.2.2:7000",
    "operatorAddress": "192.0.2.2:7001", "callerAddress": null, "backendAddress": null,
    "dataFolder": "/var/lib/galenawell", "bootstrap": true})";

Result<ProcessSettings> readWith(const std::string &patch)
{
    const TemporaryFolder folder;
    folder.write("10-base.json", frontSettings);
    folder.write("20-patch.json", patch);
    return readProcessSettings(folder.path);
}

struct InvalidCase
{
    const char *patch;
    // File, pointer and what is allowed.
    const char *expected;
};

// At least one invalid value for every key.
const InvalidCase invalidCases[] = {
    {R"({"thread": 3})", "20-patch.json: /thread: unknown key; allowed here are backendAddress, bootstrap"},
    {R"({"installation": "A B"})", "20-patch.json: /installation: must be a name"},
    {R"({"installation": null})", ": /installation: is required and must be a name"},
    {R"({"role": "gateway"})", "20-patch.json: /role: must be one of \"front\", \"control\", is \"gateway\""},
    {R"({"dataCentre": 7})", "20-patch.json: /dataCentre: must be a name"},
    {R"({"peerAddress": "localhost:80"})", "20-patch.json: /peerAddress: must be a numeric IP address with a port"},
    {R"({"operatorAddress": "192.0.2.1:0"})", "20-patch.json: /operatorAddress: must be a numeric IP"},
    {R"({"operatorAddress": "192.0.2.1:65536"})", "20-patch.json: /operatorAddress: must be a numeric IP"},
    {R"({"callerAddress": "0.0.0.0:80"})", "20-patch.json: /callerAddress: must be a numeric IP"},
    {R"({"callerAddress": null})", ": /callerAddress: is required"},
    {R"({"backendAddress": "2001:db8::1:7003"})", "20-patch.json: /backendAddress: must be a numeric IP"},
    {R"({"backendAddress": "192.0.2.1:7001"})",
     "20-patch.json: /backendAddress: address 192.0.2.1:7001 is already used by /operatorAddress"},
    {R"({"operatorAddress": "192.0.2.2:7000"})", "10-base.json: /peers/1/peerAddress: address 192.0.2.2:7000 is already used"},
    {R"({"dataFolder": "/tmp"})", "20-patch.json: /dataFolder: is not allowed here; only a control process"},
    {R"({"bootstrap": true})", "20-patch.json: /bootstrap: is not allowed here"},
    {R"({"threads": 0})", "20-patch.json: /threads: must be an integer from 1 to 64, is 0"},
    {R"({"threads": -1})", "20-patch.json: /threads: must be an integer from 1 to 64, is -1"},
    {R"({"threads": 2.0})", "20-patch.json: /threads: must be an integer"},
    {R"({"maximumConnections": "many"})", "20-patch.json: /maximumConnections: must be an integer from 16 to 65536"},
    {R"({"logLevel": "loud"})", "20-patch.json: /logLevel: must be one of \"trace\""},
    {R"({"operatorToken": "has spaces in it !"})", "20-patch.json: /operatorToken: must be 16 to 1024 visible ASCII"},
    {R"({"peers": []})", "20-patch.json: /peers: must be an array of 1 to 16384 objects"},
    {R"({"peers": [7]})", "20-patch.json: /peers/0: must be an object, is 7"},
    {R"({"instance": "front-9"})", "10-base.json: /peers/0/peerAddress: address 192.0.2.1:7000 is already used by /peerAddress"},
};

} // namespace

// Guards against rejecting a valid front, and against defaults that differ from the documented ones.
Test(processsettings, a_front_is_read_with_defaults)
{
    const Result<ProcessSettings> result = readWith("{}");
    cr_assert(result.has_value(), "%s", result.has_error() ? result.error().detail.c_str() : "");
    const ProcessSettings &settings = result.value();
    cr_assert(settings.role == ProcessRole::Front);
    cr_assert(toString(settings.backendAddress.value()) == "[2001:db8::1]:7003");
    cr_assert(settings.peers.size() == 2);
    cr_assert(settings.threads == 2);
    cr_assert(settings.maximumConnections == 1024);
    cr_assert(settings.logLevel == "info");
    cr_assert_not(settings.bootstrap);
}

// Guards against the keys of control processes being read as those of fronts.
Test(processsettings, a_control_process_is_read)
{
    const Result<ProcessSettings> result = readWith(controlPatch);
    cr_assert(result.has_value(), "%s", result.has_error() ? result.error().detail.c_str() : "");
    cr_assert(result.value().bootstrap);
    cr_assert(result.value().dataFolder == "/var/lib/galenawell");
    cr_assert_not(result.value().callerAddress.has_value());
}

// Guards against accepting invalid settings, and against messages without file, key and allowed values.
Test(processsettings, every_error_names_file_pointer_and_allowed_values)
{
    for (const InvalidCase &invalidCase : invalidCases) {
        const Result<ProcessSettings> result = readWith(invalidCase.patch);
        cr_assert(result.has_error(), "accepted: %s", invalidCase.patch);
        cr_expect(result.error().detail.find(invalidCase.expected) != std::string::npos,
                  "%s gave %s",
                  invalidCase.patch,
                  result.error().detail.c_str());
    }
}

// Guards against a relative data folder, which would depend on the working directory.
Test(processsettings, a_control_process_needs_an_absolute_data_folder)
{
    std::string patch = controlPatch;
    patch.replace(patch.find("/var"), 1, "");
    const Result<ProcessSettings> result = readWith(patch);
    cr_assert(result.has_error());
    cr_assert(result.error().detail.find("/dataFolder: must be an absolute path") != std::string::npos);
}

// Guards against secrets in logs and terminals.
Test(processsettings, a_message_about_a_secret_does_not_show_it)
{
    const Result<ProcessSettings> result = readWith(R"({"peerKey": "short-secret"})");
    cr_assert(result.has_error());
    cr_assert(result.error().detail.find("/peerKey: must be 32 to 1024") != std::string::npos);
    cr_assert(result.error().detail.find("short-secret") == std::string::npos);
}

// Guards against two processes under one name, and against a peers list that disagrees with the process's own settings.
Test(processsettings, the_peers_list_is_checked_against_the_process)
{
    const std::string front
        = R"({"instance": "front-1", "role": "front", "dataCentre": "north", "peerAddress": "192.0.2.1:7000", "callerAddress": "192.0.2.1:7002"})";
    const std::string control = R"({"instance": "control-1", "role": "control", "dataCentre": "south", "peerAddress": "192.0.2.2:7000"})";
    const std::string twin = R"({"instance": "control-1", "role": "control", "dataCentre": "south", "peerAddress": "192.0.2.3:7000"})";
    const std::string moved
        = R"({"instance": "front-1", "role": "front", "dataCentre": "east", "peerAddress": "192.0.2.1:7000", "callerAddress": "192.0.2.1:7002"})";
    const auto detail = [](const std::string &peers) {
        const Result<ProcessSettings> result = readWith("{\"peers\": [" + peers + "]}");
        return result.has_error() ? result.error().detail : std::string();
    };
    cr_assert(detail(front + "," + control).empty());
    cr_expect(detail(front + "," + control + "," + twin).find("/peers/2/instance: name is already used by /peers/1") != std::string::npos);
    cr_expect(detail(moved + "," + control).find("/peers/0/dataCentre: differs from /dataCentre") != std::string::npos);
    cr_expect(detail(control).find("/peers: must contain this process, \"front-1\"") != std::string::npos);
    cr_expect(detail(front).find("at least one process with the role \"control\"") != std::string::npos);
}

// Guards against two notations of one address, which would hide a duplicate.
Test(processsettings, only_one_notation_of_an_address_is_accepted)
{
    for (const char *text : {"127.1:80",
                             "::1:80",
                             "[127.0.0.1]:80",
                             "[::ffff:192.0.2.1]:80",
                             "[fe80::1%1]:80",
                             "192.0.2.1",
                             "192.0.2.1:+80",
                             "224.0.0.1:80"}) {
        cr_expect_not(parseEndpoint(text).has_value(), "%s", text);
    }
    cr_assert(toString(parseEndpoint("[::1]:80").value()) == "[::1]:80");
}

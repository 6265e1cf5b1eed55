#include "galenawell/commandline.h"
#include "galenawell/configuration/configuration.h"
#include "galenawell/settings/processsettings.h"
#include "unit/settings/temporaryfolder.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <iterator>
#include <sstream>

using namespace Galenawell;

namespace {

const std::filesystem::path samples = GALENAWELL_SAMPLES;
const char *const deployments[] = {"uruguay", "oman"};

std::vector<std::string> settingsFolders(const std::string &deployment)
{
    std::vector<std::string> folders;
    for (const auto &entry : std::filesystem::directory_iterator(samples / deployment / "settings")) {
        folders.push_back(entry.path().string());
    }
    std::sort(folders.begin(), folders.end());
    return folders;
}

} // namespace

// Guards against samples with a missing process or with inconsistent peer settings.
Test(samples, settings_of_every_process_are_valid_and_agree)
{
    for (const char *deployment : deployments) {
        std::vector<std::string> arguments = settingsFolders(deployment);
        const auto fronts = std::count_if(
            arguments.begin(), arguments.end(), [](const std::string &argument) { return argument.find("/front-") != std::string::npos; });
        cr_assert(fronts == 7);
        cr_assert(arguments.size() == 10);
        arguments.insert(arguments.begin(), {"config", "check", "--settings"});
        std::ostringstream out;
        std::ostringstream err;
        cr_assert(runCommandLine(arguments, out, err) == 0, "%s", err.str().c_str());
    }
}

// Guards against settings of one installation that are each valid but inconsistent with each other.
Test(samples, settings_that_disagree_are_refused)
{
    const TemporaryFolder folder;
    std::filesystem::copy(settingsFolders("oman").back(), folder.path, std::filesystem::copy_options::recursive);
    folder.write("90.json", R"({"installation": "another"})");
    std::ostringstream out;
    std::ostringstream err;
    cr_assert(runCommandLine({"config", "check", "--settings", settingsFolders("oman").front(), folder.path.string()}, out, err) == 3);
    cr_assert(err.str().find(folder.path.string() + ": /installation: differs from") != std::string::npos, "%s", err.str().c_str());
}

// Guards against a site file that doesn't override the services file.
Test(samples, configurations_are_valid_and_the_site_file_takes_effect)
{
    for (const char *deployment : deployments) {
        const Result<MergedFolder> merged = readSettingsFolder(samples / deployment / "configuration");
        cr_assert(merged.has_value());
        const Result<Configuration> configuration = parseConfiguration(merged.value());
        cr_assert(configuration.has_value(), "%s", configuration.has_error() ? configuration.error().detail.c_str() : "");
        cr_assert(configuration.value().services.size() == 4);
    }
    const MergedFolder uruguay = readSettingsFolder(samples / "uruguay" / "configuration").value();
    cr_assert(uruguay.originOf("/services/drafting-desk/subrequestTimeoutMs").ends_with("30-site.json"));
    cr_assert(uruguay.originOf("/services/drafting-desk/kind").ends_with("20-services.json"));
}

// Guards against accepting an invalid override, and against naming another file in the message.
Test(samples, a_mistake_is_reported_with_file_and_key)
{
    for (const char *deployment : deployments) {
        const TemporaryFolder folder;
        std::filesystem::copy(samples / deployment / "configuration", folder.path, std::filesystem::copy_options::recursive);
        folder.write("40-local.json", R"({"entry": {"keepMs": "10 s"}})");
        std::ostringstream out;
        std::ostringstream err;
        cr_assert(runCommandLine({"config", "check", folder.path.string()}, out, err) == 3);
        cr_assert(err.str().find("40-local.json: /entry/keepMs: must be an integer from 100 to 600000 milliseconds, is \"10 s\"")
                  != std::string::npos);
    }
}

// Guards against undocumented process settings: the message about an unknown key lists all of them.
Test(samples, the_operators_page_names_every_process_setting)
{
    const TemporaryFolder folder;
    std::filesystem::copy(settingsFolders("oman").back(), folder.path, std::filesystem::copy_options::recursive);
    folder.write("90.json", R"({"x": 1})");
    const Result<ProcessSettings> settings = readProcessSettings(folder.path);
    cr_assert(settings.has_error());
    const std::string marker = "allowed here are ";
    const std::size_t position = settings.error().detail.find(marker);
    cr_assert(position != std::string::npos);
    std::ifstream stream(GALENAWELL_OPERATORS_PAGE);
    const std::string page{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    std::istringstream keys(settings.error().detail.substr(position + marker.size()));
    for (std::string key; keys >> key;) {
        key.erase(key.find_last_not_of(',') + 1);
        cr_expect(page.find("| `" + key + "` |") != std::string::npos, "%s", key.c_str());
    }
}

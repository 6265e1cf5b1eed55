// Commands on the shared configuration: check, diff, apply, show, history.
#include "galenawell/command.h"
#include "galenawell/configuration/configuration.h"
#include "galenawell/operatorclient.h"
#include "galenawell/settings/objectreader.h"
#include "galenawell/settings/processsettings.h"
#include "galenawell/settings/settingsfolder.h"
#include "galenawell/table.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <map>
#include <set>
#include <thread>

namespace Galenawell {

namespace Detail {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds pollInterval{200};

Json errorDocument(const Error &error)
{
    return Json{{"error", error.detail}, {"kind", toString(error.kind)}, {"remedy", remedyFor(error.kind)}};
}

Json checkConfigurationFolder(const std::string &folder)
{
    const Result<MergedFolder> merged = readSettingsFolder(folder);
    if (merged.has_error()) {
        return errorDocument(merged.error());
    }
    const Result<Configuration> configuration = parseConfiguration(merged.value());
    if (configuration.has_error()) {
        return errorDocument(configuration.error());
    }
    return Json{{"services", configuration.value().services.size()}, {"digest", configurationDigest(merged.value().document)}};
}

bool isSamePeer(const PeerSettings &left, const PeerSettings &right)
{
    return left.role == right.role && left.dataCentre == right.dataCentre && left.peerAddress == right.peerAddress
        && left.callerAddress == right.callerAddress;
}

// Checks that the settings folders of one installation, each valid by itself, agree with each other.
class SettingsComparison
{
public:
    std::optional<Error> add(const std::string &folder, const ProcessSettings &settings)
    {
        if (!this->instances.insert(settings.instance).second) {
            return mismatchError(folder, "/instance", "another folder has the same name");
        }
        if (!this->first) {
            this->first = settings;
            this->firstFolder = folder;
            for (const PeerSettings &peer : settings.peers) {
                this->firstPeers.emplace(peer.instance, peer);
            }
            return std::nullopt;
        }
        if (settings.installation != this->first->installation) {
            return mismatchError(folder, "/installation", "differs from " + this->firstFolder);
        }
        if (settings.peerKey != this->first->peerKey) {
            return mismatchError(folder, "/peerKey", "differs from " + this->firstFolder);
        }
        if (!this->haveSamePeers(settings)) {
            return mismatchError(folder, "/peers", "differs from " + this->firstFolder);
        }
        return std::nullopt;
    }

private:
    static Error mismatchError(const std::string &folder, const std::string &pointer, const std::string &message)
    {
        return makeError(ErrorKind::InvalidSetting, folder + ": " + pointer + ": " + message);
    }

    bool haveSamePeers(const ProcessSettings &settings) const
    {
        const auto contains = [this](const PeerSettings &peer) {
            const auto found = this->firstPeers.find(peer.instance);
            return found != this->firstPeers.end() && isSamePeer(found->second, peer);
        };
        return settings.peers.size() == this->firstPeers.size() && std::all_of(settings.peers.begin(), settings.peers.end(), contains);
    }

    std::optional<ProcessSettings> first;
    std::string firstFolder;
    std::map<InstanceName, PeerSettings> firstPeers;
    std::set<InstanceName> instances;
};

Json checkSettingsFolder(const std::string &folder, SettingsComparison &comparison)
{
    const Result<ProcessSettings> settings = readProcessSettings(folder);
    if (settings.has_error()) {
        return errorDocument(settings.error());
    }
    const std::optional<Error> difference = comparison.add(folder, settings.value());
    if (difference) {
        return errorDocument(*difference);
    }
    const std::string role = settings.value().role == ProcessRole::Front ? "front" : "control";
    return Json{{"instance", settings.value().instance}, {"role", role}};
}

std::string describeCheckResult(const Json &entry)
{
    if (entry.contains("error")) {
        return memberText(entry, "error") + "; " + memberText(entry, "remedy");
    }
    const std::string folder = memberText(entry, "folder");
    if (entry.contains("instance")) {
        return folder + ": valid settings of " + memberText(entry, "role") + " " + memberText(entry, "instance");
    }
    return folder + ": valid configuration, " + memberText(entry, "services") + " services, digest " + memberText(entry, "digest");
}

void addCheckOptions(CommandOptions &options)
{
    options.visible.add_options()("settings",
                                  "check the settings folders of one installation's processes instead of configuration folders");
    options.addArgument("folder", -1);
}

CommandResult<ExitCode> runCheck(const Invocation &invocation)
{
    const std::vector<std::string> folders = invocation.texts("folder");
    if (folders.empty()) {
        return usageError("DIR is required");
    }
    SettingsComparison comparison;
    Json entries = Json::array();
    bool valid = true;
    for (const std::string &folder : folders) {
        Json entry = invocation.has("settings") ? checkSettingsFolder(folder, comparison) : checkConfigurationFolder(folder);
        entry["folder"] = folder;
        entry["valid"] = !entry.contains("error");
        valid = valid && !entry.contains("error");
        entries.push_back(std::move(entry));
    }
    if (invocation.json()) {
        printJson(invocation.out, Json{{"valid", valid}, {"folders", entries}});
    } else {
        for (const Json &entry : entries) {
            std::ostream &stream = entry.contains("error") ? invocation.err : invocation.out;
            stream << describeCheckResult(entry) << '\n';
        }
    }
    return valid ? ExitCode::Done : ExitCode::Invalid;
}

// Reads a configuration folder and checks it offline.
CommandResult<MergedFolder> readValidFolder(const Invocation &invocation)
{
    BOOST_OUTCOME_TRY(const std::string folder, invocation.required("folder", "DIR"));
    Result<MergedFolder> merged = readSettingsFolder(folder);
    if (merged.has_error()) {
        return validationError(merged.error());
    }
    const Result<Configuration> configuration = parseConfiguration(merged.value());
    if (configuration.has_error()) {
        return validationError(configuration.error());
    }
    return std::move(merged).value();
}

CommandError missingMemberError(const std::string &name)
{
    return CommandError{.code = ExitCode::InvalidReply,
                        .kind = "invalid_reply",
                        .detail = "the reply has no valid member \"" + name + "\"",
                        .remedy = "check that the versions of the server and of this tool match"};
}

CommandResult<Json> readAcceptedConfiguration(const OperatorClient &client)
{
    BOOST_OUTCOME_TRY(Json reply, client.get("/v1/admin/config"));
    // Before the first change, the number is 0 and there is no content.
    if (!reply.contains("content") || !reply["content"].is_object()) {
        reply["content"] = Json::object();
    }
    if (!reply.contains("number") || !reply["number"].is_number_unsigned()) {
        return missingMemberError("number");
    }
    return reply;
}

void addDiffOptions(CommandOptions &options)
{
    OperatorClient::addOptions(options);
    options.addArgument("folder", 1);
}

// Lists the leaves that differ, with the accepted value, the folder's value and the file that sets it.
Json describeChanges(const Json &accepted, const MergedFolder &folder)
{
    const Json before = accepted.empty() ? Json::object() : accepted.flatten();
    const Json after = folder.document.empty() ? Json::object() : folder.document.flatten();
    std::set<std::string> pointers;
    for (const Json *leaves : {&before, &after}) {
        for (const auto &[pointer, value] : leaves->items()) {
            pointers.insert(pointer);
        }
    }
    Json changes = Json::array();
    for (const std::string &pointer : pointers) {
        Json change{{"path", pointer}};
        if (before.contains(pointer)) {
            change["from"] = before[pointer];
        }
        if (after.contains(pointer)) {
            change["value"] = after[pointer];
            change["file"] = folder.originOf(pointer);
        }
        const bool unchanged = change.contains("from") && change.contains("value") && change["from"] == change["value"];
        if (!unchanged) {
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

void printChanges(std::ostream &out, const Json &changes)
{
    for (const Json &change : changes) {
        const std::string pointer = memberText(change, "path");
        if (change.contains("from")) {
            out << "- " << pointer << ": " << change["from"].dump() << '\n';
        }
        if (change.contains("value")) {
            out << "+ " << pointer << ": " << change["value"].dump() << "  (" << memberText(change, "file") << ")\n";
        }
    }
}

CommandResult<ExitCode> runDiff(const Invocation &invocation)
{
    BOOST_OUTCOME_TRY(const MergedFolder folder, readValidFolder(invocation));
    BOOST_OUTCOME_TRY(const OperatorClient client, OperatorClient::fromInvocation(invocation));
    BOOST_OUTCOME_TRY(const Json accepted, readAcceptedConfiguration(client));
    const Json changes = describeChanges(accepted["content"], folder);
    const std::uint64_t number = accepted["number"].get<std::uint64_t>();
    if (invocation.json()) {
        const Json document{{"number", number}, {"digest", configurationDigest(folder.document)}, {"changes", changes}};
        printJson(invocation.out, document);
    } else {
        printChanges(invocation.out, changes);
        invocation.out << changes.size() << " changes from the accepted configuration " << number << "; the next number is " << number + 1
                       << '\n';
    }
    return changes.empty() ? ExitCode::Done : ExitCode::Different;
}

void addApplyOptions(CommandOptions &options)
{
    namespace po = boost::program_options;
    auto add = options.visible.add_options();
    add("number,n", po::value<std::string>(), "number of the change: that of the accepted configuration plus 1");
    add("wait", "wait until every live front has the change in effect");
    add("wait-timeout", po::value<std::string>()->default_value("30"), "seconds for --wait");
    OperatorClient::addOptions(options);
    options.addArgument("folder", 1);
}

// Live fronts that have not yet applied the configuration with this number.
CommandResult<std::vector<std::string>> laggingFronts(const OperatorClient &client, std::uint64_t number)
{
    BOOST_OUTCOME_TRY(const Json status, client.get("/v1/admin/status"));
    const auto fronts = status.find("fronts");
    if (fronts == status.end() || !fronts->is_array() || fronts->empty()) {
        return missingMemberError("fronts");
    }
    std::vector<std::string> lagging;
    for (const Json &front : *fronts) {
        if (!front.is_object() || memberText(front, "alive") != "yes") {
            continue;
        }
        const auto applied = front.find("configurationNumber");
        const bool upToDate = applied != front.end() && applied->is_number_unsigned() && applied->get<std::uint64_t>() >= number;
        if (!upToDate) {
            lagging.push_back(memberText(front, "instance"));
        }
    }
    return lagging;
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += text.empty() ? name : ", " + name;
    }
    return text;
}

CommandError notInEffectError(std::uint64_t number, const std::string &reason)
{
    return CommandError{.code = ExitCode::NotInEffect,
                        .kind = "not_in_effect",
                        .detail = "number " + std::to_string(number)
                            + " is accepted, but not confirmed in effect at every live front in time: " + reason,
                        .remedy = "run `galenawell status`; the change stays accepted"};
}

CommandResult<ExitCode> waitForEffect(const OperatorClient &client, std::uint64_t number, std::chrono::seconds timeout)
{
    const Clock::time_point deadline = Clock::now() + timeout;
    std::string reason;
    while (Clock::now() < deadline) {
        const CommandResult<std::vector<std::string>> lagging = laggingFronts(client, number);
        if (lagging.has_value() && lagging.value().empty()) {
            return ExitCode::Done;
        }
        reason = lagging.has_value() ? joinNames(lagging.value()) : lagging.error().detail;
        std::this_thread::sleep_for(pollInterval);
    }
    return notInEffectError(number, reason);
}

CommandError submissionError(const HttpReply &reply, std::uint64_t number)
{
    CommandError error = errorFromReply(reply, true);
    const std::string verdict = memberText(reply.body, "verdict");
    const bool hasErrorText = reply.body.contains("error");
    if (verdict == "number_taken" && !hasErrorText) {
        error.detail = "number " + std::to_string(number) + " is taken by digest " + memberText(reply.body, "acceptedDigest");
    }
    if (verdict == "number_out_of_order" && !hasErrorText) {
        error.detail
            = "the newest number is " + memberText(reply.body, "newestNumber") + ", so " + std::to_string(number) + " is not the next";
    }
    constexpr unsigned badRequest = 400;
    if (reply.status == badRequest) {
        error.code = ExitCode::Invalid;
    }
    if (error.code == ExitCode::OutcomeUnknown) {
        error.detail += "; the change may have been accepted";
        error.remedy += "; repeating the same command with the same number is safe";
    }
    return error;
}

CommandResult<Json> submit(const OperatorClient &client, const MergedFolder &folder, std::uint64_t number)
{
    const std::string digest = configurationDigest(folder.document);
    const Json body{{"number", number}, {"digest", digest}, {"content", folder.document}};
    // Number and digest identify the change, so the server applies a repeated request only once.
    BOOST_OUTCOME_TRY(const HttpReply reply, client.post("/v1/admin/config", body, Resend::Allowed));
    constexpr unsigned okStatus = 200;
    if (reply.status != okStatus) {
        return submissionError(reply, number);
    }
    if (memberText(reply.body, "digest") != digest) {
        return missingMemberError("digest");
    }
    return reply.body;
}

CommandResult<ExitCode> runApply(const Invocation &invocation)
{
    BOOST_OUTCOME_TRY(const MergedFolder folder, readValidFolder(invocation));
    BOOST_OUTCOME_TRY(invocation.required("number", "--number"));
    BOOST_OUTCOME_TRY(const std::uint64_t number, invocation.number("number"));
    if (number == 0) {
        return usageError("--number must be from 1");
    }
    BOOST_OUTCOME_TRY(const std::chrono::seconds timeout, invocation.seconds("wait-timeout"));
    BOOST_OUTCOME_TRY(const OperatorClient client, OperatorClient::fromInvocation(invocation));
    BOOST_OUTCOME_TRY(Json reply, submit(client, folder, number));
    if (invocation.has("wait")) {
        BOOST_OUTCOME_TRY(waitForEffect(client, number, timeout));
        reply["inEffect"] = true;
    }
    if (invocation.json()) {
        printJson(invocation.out, reply);
        return ExitCode::Done;
    }
    const bool repeated = memberText(reply, "verdict") == "already_accepted";
    invocation.out << "number " << number << (repeated ? " was already accepted" : " accepted") << ", digest "
                   << memberText(reply, "digest") << '\n';
    if (invocation.has("wait")) {
        invocation.out << "in effect at every live front\n";
    }
    return ExitCode::Done;
}

CommandResult<ExitCode> runShow(const Invocation &invocation)
{
    BOOST_OUTCOME_TRY(const OperatorClient client, OperatorClient::fromInvocation(invocation));
    BOOST_OUTCOME_TRY(const Json reply, readAcceptedConfiguration(client));
    if (invocation.json()) {
        printJson(invocation.out, reply);
        return ExitCode::Done;
    }
    // The heading is a comment, so that the output can be saved as a configuration file.
    invocation.out << "// number " << memberText(reply, "number") << ", digest " << memberText(reply, "digest") << ", revision "
                   << memberText(reply, "revision") << '\n';
    printJson(invocation.out, reply["content"]);
    return ExitCode::Done;
}

void addHistoryOptions(CommandOptions &options)
{
    namespace po = boost::program_options;
    auto add = options.visible.add_options();
    add("from", po::value<std::string>(), "first number to list; default: the newest ones");
    add("limit", po::value<std::string>()->default_value("20"), "maximum number of entries to list, 1 to 1000");
    OperatorClient::addOptions(options);
}

CommandResult<ExitCode> runHistory(const Invocation &invocation)
{
    constexpr std::uint64_t maximumLimit = 1000;
    BOOST_OUTCOME_TRY(const OperatorClient client, OperatorClient::fromInvocation(invocation));
    BOOST_OUTCOME_TRY(const std::uint64_t limit, invocation.number("limit"));
    if (limit == 0 || limit > maximumLimit) {
        return usageError("--limit must be from 1 to " + std::to_string(maximumLimit));
    }
    std::uint64_t from = 1;
    if (invocation.has("from")) {
        BOOST_OUTCOME_TRY(from, invocation.number("from"));
    } else {
        BOOST_OUTCOME_TRY(const Json accepted, readAcceptedConfiguration(client));
        const std::uint64_t newest = accepted["number"].get<std::uint64_t>();
        from = newest > limit ? newest - limit + 1 : 1;
    }
    const std::string target = "/v1/admin/config/history?from=" + std::to_string(from) + "&limit=" + std::to_string(limit);
    BOOST_OUTCOME_TRY(const Json reply, client.get(target));
    if (invocation.json()) {
        printJson(invocation.out, reply);
        return ExitCode::Done;
    }
    constexpr std::array columns{Column{"NUMBER", "number"}, Column{"DIGEST", "digest"}};
    printTable(invocation.out, columns, reply.value("entries", Json::array()));
    invocation.out << "newest: " << memberText(reply, "newest") << '\n';
    return ExitCode::Done;
}

constexpr std::array commands{
    Command{.name = "config check",
            .arguments = "DIR...",
            .summary = "Check folders offline; needs no server",
            .examples = "  galenawell config check configuration\n"
                        "  galenawell config check --settings settings/*\n"
                        "  galenawell config check --json configuration\n",
            .addOptions = addCheckOptions,
            .run = runCheck},
    Command{.name = "config diff",
            .arguments = "DIR",
            .summary = "Compare a folder with the accepted configuration",
            .examples = "  galenawell config diff configuration -a 192.0.2.11:8002 -t token\n",
            .addOptions = addDiffOptions,
            .run = runDiff},
    Command{.name = "config apply",
            .arguments = "DIR",
            .summary = "Submit a folder as the next configuration; repeating the same command is safe",
            .examples = "  galenawell config apply configuration --number 7 --wait -a 192.0.2.11:8002 -t token\n",
            .addOptions = addApplyOptions,
            .run = runApply},
    Command{.name = "config show",
            .arguments = "",
            .summary = "Show the accepted configuration",
            .examples = "  galenawell config show -a 192.0.2.11:8002 -t token\n",
            .addOptions = OperatorClient::addOptions,
            .run = runShow},
    Command{.name = "config history",
            .arguments = "",
            .summary = "List accepted numbers and their digests",
            .examples = "  galenawell config history --limit 5 -a 192.0.2.11:8002 -t token\n"
                        "  galenawell config history --from 100 --limit 50 --json -a 192.0.2.11:8002 -t token\n",
            .addOptions = addHistoryOptions,
            .run = runHistory},
};

} // namespace

} // namespace Detail

std::span<const Command> configCommands()
{
    return Detail::commands;
}

} // namespace Galenawell

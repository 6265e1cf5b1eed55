#include "unit/settings/fakeoperatorapi.h"

#include "galenawell/commandline.h"
#include "galenawell/configuration/configuration.h"
#include "galenawell/settings/settingsfolder.h"
#include "unit/settings/temporaryfolder.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace Galenawell;

namespace {

const ScriptedReply lostReply{.status = 200, .body = "", .closesConnection = true};

struct Outcome
{
    int code = 0;
    std::string out;
    std::string err;
};

Outcome run(const std::vector<std::string> &arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const int code = runCommandLine(arguments, out, err);
    return {code, out.str(), err.str()};
}

// A configuration folder, a token file, and the digest of the folder.
class Workspace
{
public:
    Workspace()
    {
        this->folder.write("10.json", R"({"services": {"archive-shelf": {"kind": "pool"}}})");
        this->folder.write("token", "0123456789abcdef\n");
        this->digest = configurationDigest(readSettingsFolder(this->folder.path).value().document);
    }

    // Runs a command against the fake API.
    Outcome runAt(const FakeOperatorApi &api, std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(), {"-a", api.address(), "-t", (this->folder.path / "token").string()});
        return run(arguments);
    }

    std::vector<std::string> applyWords(const std::string &number) const
    {
        return {"config", "apply", this->folder.path.string(), "--number", number};
    }

    std::string acceptedReply(const std::string &verdict) const
    {
        return nlohmann::json{{"verdict", verdict}, {"number", 3}, {"digest", this->digest}}.dump();
    }

    TemporaryFolder folder;
    std::string digest;
};

std::size_t countRequests(const FakeOperatorApi &api, const std::string &prefix)
{
    const auto matches = [&prefix](const std::string &request) { return request.starts_with(prefix); };
    return static_cast<std::size_t>(std::count_if(api.requests.begin(), api.requests.end(), matches));
}

} // namespace

// Guards against a check that needs a server, or that succeeds on a bad folder.
Test(commandline, config_check_names_file_and_key_and_fails)
{
    const Workspace workspace;
    const std::string folder = workspace.folder.path.string();
    const Outcome valid = run({"config", "check", folder});
    cr_assert(valid.code == 0, "%s", valid.err.c_str());
    cr_assert(valid.out.find(workspace.digest) != std::string::npos);
    workspace.folder.write("20.json", R"({"services": {"archive-shelf": {"rampUp": 5}}})");
    const Outcome invalid = run({"config", "check", folder});
    cr_assert(invalid.code == 3);
    cr_assert(invalid.err.find("20.json: /services/archive-shelf/rampUp: unknown key") != std::string::npos, "%s", invalid.err.c_str());
    const Outcome json = run({"config", "check", folder, "--json"});
    cr_assert(json.code == 3);
    cr_assert(nlohmann::json::parse(json.out)["valid"] == false);
}

// Guards against an invalid command line reaching a server or being reported as success.
Test(commandline, an_invalid_command_line_has_its_own_exit_code)
{
    const Workspace workspace;
    const std::string folder = workspace.folder.path.string();
    const std::vector<std::vector<std::string>> invalid{{},
                                                        {"confg"},
                                                        {"config"},
                                                        {"config", "check"},
                                                        {"config", "apply", folder, "--number", "-1"},
                                                        {"config", "apply", folder, "--number", "0"},
                                                        {"config", "apply", folder},
                                                        {"config", "apply", folder, "--num", "1"},
                                                        {"status", "-a", "localhost:80", "-t", folder + "/token"},
                                                        {"status", "-a", "127.0.0.1:80", "-t", folder + "/absent"},
                                                        {"members", "lst"},
                                                        {"search", "{", "-s", "x", "-a", "127.0.0.1:80"}};
    for (const std::vector<std::string> &arguments : invalid) {
        const Outcome outcome = run(arguments);
        cr_expect(outcome.code == 2, "%s gave %d", arguments.empty() ? "" : arguments.back().c_str(), outcome.code);
        cr_expect_not(outcome.err.empty());
    }
}

// Guards against commands without help or examples.
Test(commandline, every_command_has_help_with_examples)
{
    const std::vector<std::vector<std::string>> commands{{"config", "check"},
                                                         {"config", "diff"},
                                                         {"config", "apply"},
                                                         {"config", "show"},
                                                         {"config", "history"},
                                                         {"status"},
                                                         {"backends"},
                                                         {"entries"},
                                                         {"drain"},
                                                         {"members"},
                                                         {"members", "list"},
                                                         {"members", "add"},
                                                         {"members", "promote"},
                                                         {"members", "remove"},
                                                         {"members", "replace"},
                                                         {"search"}};
    const std::string overview = run({"--help"}).out;
    for (std::vector<std::string> arguments : commands) {
        std::string name = arguments[0] + (arguments.size() > 1 ? " " + arguments[1] : "");
        cr_expect(overview.find("  " + name + " ") != std::string::npos, "%s", name.c_str());
        arguments.emplace_back("--help");
        const Outcome help = run(arguments);
        cr_expect(help.code == 0);
        cr_expect(help.out.find("Examples:\n  galenawell " + arguments[0]) != std::string::npos, "%s", name.c_str());
    }
}

// Guards against undocumented keys: messages about unknown keys list what the operators' page must describe.
Test(commandline, the_operators_page_names_every_key)
{
    std::ifstream stream(GALENAWELL_OPERATORS_PAGE);
    const std::string page{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    const std::vector<std::string> patches{R"({"x": 1})",
                                           R"({"entry": {"x": 1}})",
                                           R"({"claims": {"x": 1}})",
                                           R"({"quarantine": {"x": 1}})",
                                           R"({"services": {"archive-shelf": {"x": 1}}})",
                                           R"({"services": {"archive-shelf": {"admission": {"x": 1}}}})",
                                           R"({"services": {"archive-shelf": {"hedge": {"x": 1}}}})"};
    const std::string marker = "allowed here are ";
    for (const std::string &patch : patches) {
        const Workspace workspace;
        workspace.folder.write("20.json", patch);
        const std::string message = run({"config", "check", workspace.folder.path.string()}).err;
        cr_assert(message.find(marker) != std::string::npos, "%s", message.c_str());
        const std::string list = message.substr(message.find(marker) + marker.size());
        std::istringstream keys(list.substr(0, list.find(';')));
        for (std::string key; keys >> key;) {
            key.erase(key.find_last_not_of(',') + 1);
            cr_expect(page.find(key) != std::string::npos, "%s", key.c_str());
        }
    }
}

// Guards against a lost reply being reported as a failure, and against a retry with another digest.
Test(commandline, apply_sends_the_same_change_again_after_a_lost_reply)
{
    const Workspace workspace;
    FakeOperatorApi api({{"POST /v1/admin/config", {lostReply, {.body = workspace.acceptedReply("already_accepted")}}}});
    const Outcome outcome = workspace.runAt(api, workspace.applyWords("3"));
    api.stop();
    cr_assert(outcome.code == 0, "%s", outcome.err.c_str());
    cr_assert(outcome.out.find("number 3 was already accepted") != std::string::npos);
    cr_assert(api.requests.size() == 2);
    cr_assert(api.requests[0] == api.requests[1]);
    cr_assert(api.authorization == "Bearer 0123456789abcdef");
}

struct ApplyCase
{
    ScriptedReply reply;
    int code;
    const char *expected;
};

// Guards against an ambiguous exit code, on which scripts depend.
Test(commandline, apply_has_one_exit_code_per_outcome)
{
    const Workspace workspace;
    const std::vector<ApplyCase> cases{
        {{.status = 409, .body = R"({"verdict": "number_taken", "newestNumber": 3, "acceptedDigest": "ab"})"}, 4, "taken by digest ab"},
        {{.status = 409, .body = R"({"verdict": "number_out_of_order", "newestNumber": 9, "acceptedDigest": ""})"},
         4,
         "newest number is 9"},
        {{.status = 400, .body = R"({"error": "/services: bad", "remedy": "correct it"})"}, 3, "/services: bad; correct it"},
        {{.status = 401, .body = R"({"error": "no token", "remedy": "send it"})"}, 8, "no token"},
        {{.status = 503, .body = R"({"error": "no leader", "remedy": "try again"})"}, 6, "same number is safe"},
        {{.status = 200, .body = "<html>"}, 9, "not a JSON object"},
        {{.status = 200, .body = R"({"verdict": "accepted", "number": 3, "digest": "other"})"}, 9, "digest"},
        {lostReply, 6, "may have taken effect"},
    };
    for (const ApplyCase &applyCase : cases) {
        FakeOperatorApi api({{"POST /v1/admin/config", {applyCase.reply}}});
        const Outcome outcome = workspace.runAt(api, workspace.applyWords("3"));
        cr_expect(outcome.code == applyCase.code, "%d: %s", outcome.code, outcome.err.c_str());
        cr_expect(outcome.err.find(applyCase.expected) != std::string::npos, "%s", outcome.err.c_str());
    }
}

// Guards against an unreachable server being reported as an unknown outcome.
Test(commandline, a_refused_connection_means_that_nothing_was_changed)
{
    const Workspace workspace;
    std::vector<std::string> arguments = workspace.applyWords("3");
    // Port 1 (tcpmux) has no listener.
    arguments.insert(arguments.end(), {"-a", "127.0.0.1:1", "-t", (workspace.folder.path / "token").string()});
    cr_assert(run(arguments).code == 5);
}

// Guards against --wait returning before a lagging front has the change, and against waiting for failed fronts.
Test(commandline, apply_waits_for_every_live_front)
{
    const Workspace workspace;
    const std::string lagging = R"({"fronts": [{"instance": "a", "alive": true, "configurationNumber": 3},
        {"instance": "b", "alive": true, "configurationNumber": 2}, {"instance": "c", "alive": false, "configurationNumber": 1}]})";
    const std::string done = R"({"fronts": [{"instance": "a", "alive": true, "configurationNumber": 4},
        {"instance": "b", "alive": true, "configurationNumber": 3}, {"instance": "c", "alive": false, "configurationNumber": 1}]})";
    FakeOperatorApi api({{"POST /v1/admin/config", {{.body = workspace.acceptedReply("accepted")}}},
                         {"GET /v1/admin/status", {{.body = lagging}, {.body = lagging}, {.body = done}}}});
    std::vector<std::string> arguments = workspace.applyWords("3");
    arguments.emplace_back("--wait");
    const Outcome outcome = workspace.runAt(api, arguments);
    api.stop();
    cr_assert(outcome.code == 0, "%s", outcome.err.c_str());
    cr_assert(countRequests(api, "GET /v1/admin/status") == 3);
}

// Guards against an unlimited wait, and against an accepted change being reported as refused.
Test(commandline, apply_reports_fronts_that_lag_at_the_end_of_the_wait)
{
    const Workspace workspace;
    const std::string lagging = R"({"fronts": [{"instance": "front-b", "alive": true, "configurationNumber": 2}]})";
    FakeOperatorApi api(
        {{"POST /v1/admin/config", {{.body = workspace.acceptedReply("accepted")}}}, {"GET /v1/admin/status", {{.body = lagging}}}});
    std::vector<std::string> arguments = workspace.applyWords("3");
    arguments.insert(arguments.end(), {"--wait", "--wait-timeout", "1"});
    const Outcome outcome = workspace.runAt(api, arguments);
    cr_assert(outcome.code == 7);
    cr_assert(outcome.err.find("front-b") != std::string::npos);
}

// Guards against differences without old value, new value or file.
Test(commandline, diff_shows_values_and_files)
{
    const Workspace workspace;
    const std::string accepted
        = R"({"number": 2, "digest": "ab", "revision": 5, "content": {"services": {"archive-shelf": {"kind": "sharded"}}}})";
    FakeOperatorApi api({{"GET /v1/admin/config", {{.body = accepted}}}});
    const Outcome outcome = workspace.runAt(api, {"config", "diff", workspace.folder.path.string()});
    cr_assert(outcome.code == 1, "%s", outcome.err.c_str());
    cr_assert(outcome.out.find("- /services/archive-shelf/kind: \"sharded\"") != std::string::npos);
    cr_assert(outcome.out.find("+ /services/archive-shelf/kind: \"pool\"") != std::string::npos);
    cr_assert(outcome.out.find("10.json)") != std::string::npos);
    cr_assert(outcome.out.find("the next number is 3") != std::string::npos);
}

// Guards against removing the old member before the new one has caught up with the log and votes.
Test(commandline, replace_adds_waits_promotes_and_removes_in_this_order)
{
    const Workspace workspace;
    const std::string before = R"({"members": [{"id": 7, "instance": "control-2", "voter": true, "matchIndex": 50}], "lastIndex": 90})";
    const std::string behind = R"({"members": [{"id": 7, "instance": "control-2", "voter": true, "matchIndex": 50},
        {"id": 8, "instance": "control-2", "voter": false, "matchIndex": 10}], "lastIndex": 90})";
    const std::string caughtUp = R"({"members": [{"id": 7, "instance": "control-2", "voter": true, "matchIndex": 50},
        {"id": 8, "instance": "control-2", "voter": false, "matchIndex": 90}], "lastIndex": 95})";
    FakeOperatorApi api({{"GET /v1/admin/members", {{.body = before}, {.body = behind}, {.body = caughtUp}}},
                         {"POST /v1/admin/members", {{.body = "{}"}}}});
    const Outcome outcome = workspace.runAt(api, {"members", "replace", "7", "8"});
    api.stop();
    cr_assert(outcome.code == 0, "%s", outcome.err.c_str());
    std::vector<std::string> actions;
    for (const std::string &request : api.requests) {
        if (request.starts_with("POST")) {
            actions.push_back(nlohmann::json::parse(request.substr(request.find('{')))["action"].get<std::string>());
        }
    }
    cr_assert(actions == (std::vector<std::string>{"add", "promote", "remove"}));
}

// Guards against a membership change or a query being sent twice by the tool.
Test(commandline, requests_that_must_not_repeat_are_sent_once)
{
    const Workspace workspace;
    FakeOperatorApi api({{"POST /v1/admin/members", {lostReply}}, {"POST /v1/query", {lostReply}}});
    const Outcome members = workspace.runAt(api, {"members", "add", "8", "control-2"});
    const Outcome search = run({"search", "{}", "-s", "x", "--id", "17-a", "-a", api.address()});
    api.stop();
    cr_assert(members.code == 6);
    cr_assert(search.code == 6);
    cr_assert(search.err.find("search --outcome 17-a") != std::string::npos);
    cr_assert(api.requests.size() == 2);
}

// Guards against a partial answer that looks complete, and against "not run" and "unknown" sharing an exit code.
Test(commandline, search_shows_coverage_and_execution)
{
    const Workspace workspace;
    const std::string answer = R"({"id": "1-a", "execution": "ran", "snapshot": {"version": 9, "epoch": 2},
        "coverage": {"total": 3, "answered": 2, "missing": ["g3"]}, "rows": [{"key": "k1", "value": {"title": "x"}}]})";
    const std::string refused
        = R"({"id": "1-a", "execution": "not_run", "reason": "queue_full", "remedy": "try later", "retryAfterMs": 100})";
    const std::string unknown = R"({"id": "1-a", "execution": "unknown", "reason": "claim_unknown", "remedy": "check"})";
    FakeOperatorApi api({{"POST /v1/query", {{.body = answer}, {.status = 503, .body = refused}, {.status = 409, .body = unknown}}}});
    const std::vector<std::string> arguments{"search", "{}", "-s", "x", "-a", api.address()};
    const Outcome partial = run(arguments);
    cr_assert(partial.code == 0, "%s", partial.err.c_str());
    cr_assert(partial.out.find("coverage: 2 of 3 groups, missing g3") != std::string::npos);
    const Outcome notRun = run(arguments);
    cr_assert(notRun.code == 4);
    cr_assert(notRun.err.find("queue_full, execution not_run; try later") != std::string::npos, "%s", notRun.err.c_str());
    cr_assert(run(arguments).code == 6);
}

// Guards against tables without some rows or without the warning about a suspect registry.
Test(commandline, the_other_commands_print_tables)
{
    const Workspace workspace;
    const std::string backends = R"({"suspect": true, "backends": [{"service": "s1", "group": "g", "versions": [4, 5], "ejected": false},
        {"service": "s2", "group": "", "versions": [], "ejected": true}]})";
    const std::string entries
        = R"({"entries": [{"instance": "front-1", "dataCentre": "north", "address": "192.0.2.1:80", "weight": 1}], "keepMs": 10000})";
    const std::string history = R"({"newest": 2, "entries": [{"number": 1, "digest": "aa"}, {"number": 2, "digest": "bb"}]})";
    FakeOperatorApi api({{"GET /v1/admin/backends", {{.body = backends}}},
                         {"GET /v1/admin/entries", {{.body = entries}}},
                         {"GET /v1/admin/config/history?from=1&limit=20", {{.body = history}}},
                         {"POST /v1/admin/drain", {{.body = "{}"}}}});
    const Outcome all = workspace.runAt(api, {"backends"});
    cr_assert(all.out.find("4,5") != std::string::npos && all.out.find("suspect:") != std::string::npos, "%s", all.out.c_str());
    cr_assert(workspace.runAt(api, {"backends", "--service", "s2"}).out.find("1 backend servers") != std::string::npos);
    cr_assert(workspace.runAt(api, {"entries"}).out.find("front-1  north") != std::string::npos);
    cr_assert(workspace.runAt(api, {"config", "history", "--from", "1"}).out.find("2       bb") != std::string::npos);
    cr_assert(workspace.runAt(api, {"drain", "front-1"}).code == 0);
    cr_assert(nlohmann::json::parse(workspace.runAt(api, {"entries", "--json"}).out) == nlohmann::json::parse(entries));
}

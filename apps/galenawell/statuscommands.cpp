// Commands on running instances: status, backends, entries, drain.
#include "galenawell/command.h"
#include "galenawell/operatorclient.h"
#include "galenawell/table.h"

#include <array>
#include <boost/outcome/try.hpp>

namespace Galenawell {

namespace Detail {

namespace {

using Json = nlohmann::json;

constexpr std::array controlColumns{
    Column{"CONTROL", "instance"},
    Column{"ROLE", "role"},
    Column{"VOTER", "voter"},
    Column{"REACHABLE", "reachable"},
    Column{"COMMIT", "commitIndex"},
};

constexpr std::array frontColumns{
    Column{"FRONT", "instance"},
    Column{"DATA CENTRE", "dataCentre"},
    Column{"ALIVE", "alive"},
    Column{"DRAINING", "draining"},
    Column{"REVISION", "revision"},
    Column{"CONFIGURATION", "configurationNumber"},
};

constexpr std::array backendColumns{
    Column{"SERVICE", "service"},
    Column{"GROUP", "group"},
    Column{"ADDRESS", "address"},
    Column{"DATA CENTRE", "dataCentre"},
    Column{"STATE", "state"},
    Column{"EPOCH", "epoch"},
    Column{"VERSIONS", "versions"},
    Column{"SLOTS", "slots"},
    Column{"CONNECTIONS", "connections"},
    Column{"IN FLIGHT", "inFlight"},
    Column{"EJECTED", "ejected"},
};

constexpr std::array entryColumns{
    Column{"ENTRY", "instance"},
    Column{"DATA CENTRE", "dataCentre"},
    Column{"ADDRESS", "address"},
    Column{"WEIGHT", "weight"},
};

// Gets a target and prints the reply as JSON or with `print`.
CommandResult<ExitCode> show(const Invocation &invocation, const std::string &target, void (*print)(const Invocation &, const Json &))
{
    BOOST_OUTCOME_TRY(const OperatorClient client, OperatorClient::fromInvocation(invocation));
    BOOST_OUTCOME_TRY(const Json reply, client.get(target));
    if (invocation.json()) {
        printJson(invocation.out, reply);
    } else {
        print(invocation, reply);
    }
    return ExitCode::Done;
}

void printStatus(const Invocation &invocation, const Json &reply)
{
    std::ostream &out = invocation.out;
    out << "instance " << memberText(reply, "instance") << ": ready " << memberText(reply, "ready") << ", confirmed "
        << memberText(reply, "confirmed") << ", revision " << memberText(reply, "revision") << ", configuration "
        << memberText(reply, "configurationNumber") << '\n';
    out << "control leader " << memberText(reply, "leader") << ", term " << memberText(reply, "term") << "\n\n";
    printTable(out, controlColumns, reply.value("control", Json::array()));
    out << '\n';
    printTable(out, frontColumns, reply.value("fronts", Json::array()));
}

CommandResult<ExitCode> runStatus(const Invocation &invocation)
{
    return show(invocation, "/v1/admin/status", printStatus);
}

void addBackendsOptions(CommandOptions &options)
{
    namespace po = boost::program_options;
    options.visible.add_options()("service", po::value<std::string>(), "list only this service; without effect on --json");
    OperatorClient::addOptions(options);
}

void printBackends(const Invocation &invocation, const Json &reply)
{
    Json rows = Json::array();
    const std::string service = invocation.text("service");
    for (const Json &row : reply.value("backends", Json::array())) {
        if (service.empty() || (row.is_object() && memberText(row, "service") == service)) {
            rows.push_back(row);
        }
    }
    printTable(invocation.out, backendColumns, rows);
    invocation.out << rows.size() << " backend servers\n";
    if (memberText(reply, "suspect") == "yes") {
        invocation.out << "suspect: most leases expired at once, so the previous set is kept\n";
    }
}

CommandResult<ExitCode> runBackends(const Invocation &invocation)
{
    return show(invocation, "/v1/admin/backends", printBackends);
}

void printEntries(const Invocation &invocation, const Json &reply)
{
    printTable(invocation.out, entryColumns, reply.value("entries", Json::array()));
    invocation.out << "callers may keep this list for " << memberText(reply, "keepMs") << " ms\n";
}

CommandResult<ExitCode> runEntries(const Invocation &invocation)
{
    return show(invocation, "/v1/admin/entries", printEntries);
}

void addDrainOptions(CommandOptions &options)
{
    OperatorClient::addOptions(options);
    options.addArgument("instance", 1);
}

CommandResult<ExitCode> runDrain(const Invocation &invocation)
{
    BOOST_OUTCOME_TRY(const std::string instance, invocation.required("instance", "ENTRY-INSTANCE"));
    BOOST_OUTCOME_TRY(const OperatorClient client, OperatorClient::fromInvocation(invocation));
    // Draining is idempotent.
    BOOST_OUTCOME_TRY(const HttpReply reply, client.post("/v1/admin/drain", Json{{"instance", instance}}, Resend::Allowed));
    constexpr unsigned okStatus = 200;
    if (reply.status != okStatus) {
        return errorFromReply(reply, true);
    }
    if (invocation.json()) {
        printJson(invocation.out, reply.body);
    } else {
        invocation.out << instance << " is draining; `galenawell entries` shows when it has left the list\n";
    }
    return ExitCode::Done;
}

constexpr std::array commands{
    Command{.name = "status",
            .arguments = "",
            .summary = "Show control processes and fronts as one front sees them",
            .examples = "  galenawell status -a 192.0.2.11:8002 -t token\n",
            .addOptions = OperatorClient::addOptions,
            .run = runStatus},
    Command{.name = "backends",
            .arguments = "",
            .summary = "List the announced backend servers",
            .examples = "  galenawell backends --service drafting-desk -a 192.0.2.11:8002 -t token\n",
            .addOptions = addBackendsOptions,
            .run = runBackends},
    Command{.name = "entries",
            .arguments = "",
            .summary = "List the entry instances that callers are sent to",
            .examples = "  galenawell entries -a 192.0.2.11:8002 -t token\n",
            .addOptions = OperatorClient::addOptions,
            .run = runEntries},
    Command{.name = "drain",
            .arguments = "ENTRY-INSTANCE",
            .summary = "Remove a front from the entry list before it is stopped; repeating is safe",
            .examples = "  galenawell drain front-3 -a 192.0.2.11:8002 -t token\n",
            .addOptions = addDrainOptions,
            .run = runDrain},
};

} // namespace

} // namespace Detail

std::span<const Command> statusCommands()
{
    return Detail::commands;
}

} // namespace Galenawell

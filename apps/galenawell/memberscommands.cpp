// Commands on the members of the control group: list, add, promote, remove, replace.
#include "galenawell/command.h"
#include "galenawell/operatorclient.h"
#include "galenawell/table.h"

#include <algorithm>
#include <array>
#include <boost/outcome/try.hpp>
#include <thread>

namespace Galenawell {

namespace Detail {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds pollInterval{200};

constexpr std::array memberColumns{
    Column{"ID", "id"},
    Column{"INSTANCE", "instance"},
    Column{"VOTER", "voter"},
    Column{"MATCH", "matchIndex"},
};

CommandResult<Json> readMembers(const OperatorClient &client)
{
    BOOST_OUTCOME_TRY(const Json reply, client.get("/v1/admin/members"));
    if (!reply.contains("members") || !reply["members"].is_array()) {
        return CommandError{.code = ExitCode::InvalidReply,
                            .kind = "invalid_reply",
                            .detail = "the reply has no list \"members\"",
                            .remedy = "check that the versions of the server and of this tool match"};
    }
    return reply;
}

// Null if the member isn't listed. Ids are compared as text, since the reply may contain them as numbers.
const Json *findMember(const Json &reply, const std::string &id)
{
    for (const Json &member : reply["members"]) {
        if (member.is_object() && memberText(member, "id") == id) {
            return &member;
        }
    }
    return nullptr;
}

std::uint64_t unsignedMember(const Json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

CommandError unknownMemberError(const std::string &id)
{
    return CommandError{.code = ExitCode::Refused,
                        .kind = "not_found",
                        .detail = "no member has the id " + id,
                        .remedy = "run `galenawell members` for the ids"};
}

// Never resent: the membership may have changed since the first attempt.
CommandResult<Json> changeMembership(const OperatorClient &client, const std::string &action, std::uint64_t id, const std::string &instance)
{
    const Json body{{"action", action}, {"id", id}, {"instance", instance}};
    BOOST_OUTCOME_TRY(const HttpReply reply, client.post("/v1/admin/members", body, Resend::Forbidden));
    constexpr unsigned okStatus = 200;
    if (reply.status != okStatus) {
        return errorFromReply(reply, true);
    }
    return reply.body;
}

CommandResult<ExitCode> runList(const Invocation &invocation)
{
    if (invocation.has("stray")) {
        return usageError("unknown action \"" + invocation.text("stray") + "\"; use list, add, promote, remove or replace");
    }
    BOOST_OUTCOME_TRY(const OperatorClient client, OperatorClient::fromInvocation(invocation));
    BOOST_OUTCOME_TRY(const Json reply, readMembers(client));
    if (invocation.json()) {
        printJson(invocation.out, reply);
        return ExitCode::Done;
    }
    printTable(invocation.out, memberColumns, reply["members"]);
    invocation.out << "last index: " << memberText(reply, "lastIndex") << '\n';
    return ExitCode::Done;
}

void addListOptions(CommandOptions &options)
{
    OperatorClient::addOptions(options);
    options.addArgument("stray", 1);
}

void addIdOptions(CommandOptions &options)
{
    OperatorClient::addOptions(options);
    options.addArgument("id", 1);
}

void addAddOptions(CommandOptions &options)
{
    addIdOptions(options);
    options.addArgument("instance", 1);
}

CommandResult<std::uint64_t> requiredId(const Invocation &invocation, const std::string &name, std::string_view meaning)
{
    BOOST_OUTCOME_TRY(invocation.required(name, meaning));
    return invocation.number(name);
}

void printResult(const Invocation &invocation, const Json &reply, const std::string &message)
{
    if (invocation.json()) {
        printJson(invocation.out, reply);
    } else {
        invocation.out << message << '\n';
    }
}

CommandResult<ExitCode> runAdd(const Invocation &invocation)
{
    BOOST_OUTCOME_TRY(const std::uint64_t id, requiredId(invocation, "id", "ID"));
    BOOST_OUTCOME_TRY(const std::string instance, invocation.required("instance", "INSTANCE"));
    BOOST_OUTCOME_TRY(const OperatorClient client, OperatorClient::fromInvocation(invocation));
    BOOST_OUTCOME_TRY(const Json reply, changeMembership(client, "add", id, instance));
    printResult(invocation, reply, "member " + std::to_string(id) + " of " + instance + " added as a learner");
    return ExitCode::Done;
}

// Promotes or removes a listed member.
CommandResult<ExitCode> changeListedMember(const Invocation &invocation, const std::string &action, const std::string &effect)
{
    BOOST_OUTCOME_TRY(const std::uint64_t id, requiredId(invocation, "id", "ID"));
    BOOST_OUTCOME_TRY(const OperatorClient client, OperatorClient::fromInvocation(invocation));
    BOOST_OUTCOME_TRY(const Json members, readMembers(client));
    const Json *member = findMember(members, std::to_string(id));
    if (member == nullptr) {
        return unknownMemberError(std::to_string(id));
    }
    const std::string instance = memberText(*member, "instance");
    BOOST_OUTCOME_TRY(const Json reply, changeMembership(client, action, id, instance));
    printResult(invocation, reply, "member " + std::to_string(id) + " of " + instance + " " + effect);
    return ExitCode::Done;
}

CommandResult<ExitCode> runPromote(const Invocation &invocation)
{
    return changeListedMember(invocation, "promote", "votes now");
}

CommandResult<ExitCode> runRemove(const Invocation &invocation)
{
    return changeListedMember(invocation, "remove", "removed");
}

void addReplaceOptions(CommandOptions &options)
{
    namespace po = boost::program_options;
    auto add = options.visible.add_options();
    add("instance", po::value<std::string>(), "instance of the new member; default: that of the old one");
    add("wait-timeout", po::value<std::string>()->default_value("60"), "seconds to wait for the new member to catch up with the log");
    OperatorClient::addOptions(options);
    options.addArgument("old", 1);
    options.addArgument("new", 1);
}

// Replaces a member by one with an empty data folder: adds it as a learner, waits until it has the log, promotes it and
// removes the old one. Each step reads the current members first, so repeating an interrupted command continues it.
class MemberReplacement
{
public:
    MemberReplacement(const OperatorClient &operatorClient, std::uint64_t oldMemberId, std::uint64_t newMemberId, std::string newInstance)
        : client(operatorClient)
        , oldId(oldMemberId)
        , newId(newMemberId)
        , instance(std::move(newInstance))
    {
    }

    CommandResult<ExitCode> run(std::chrono::seconds timeout)
    {
        BOOST_OUTCOME_TRY(this->addLearner());
        BOOST_OUTCOME_TRY(this->waitForCatchUp(timeout));
        BOOST_OUTCOME_TRY(this->promote());
        return this->removeOld();
    }

private:
    CommandResult<ExitCode> addLearner()
    {
        BOOST_OUTCOME_TRY(const Json members, readMembers(this->client));
        const Json *old = findMember(members, std::to_string(this->oldId));
        const bool added = findMember(members, std::to_string(this->newId)) != nullptr;
        if (old == nullptr && !added) {
            return unknownMemberError(std::to_string(this->oldId));
        }
        if (this->instance.empty() && old != nullptr) {
            this->instance = memberText(*old, "instance");
        }
        if (!added) {
            BOOST_OUTCOME_TRY(changeMembership(this->client, "add", this->newId, this->instance));
        }
        return ExitCode::Done;
    }

    CommandResult<ExitCode> waitForCatchUp(std::chrono::seconds timeout)
    {
        const Clock::time_point deadline = Clock::now() + timeout;
        while (Clock::now() < deadline) {
            const CommandResult<Json> members = readMembers(this->client);
            const Json *added = members.has_value() ? findMember(members.value(), std::to_string(this->newId)) : nullptr;
            if (added != nullptr && this->hasCaughtUp(members.value(), *added)) {
                this->instance = memberText(*added, "instance");
                return ExitCode::Done;
            }
            std::this_thread::sleep_for(pollInterval);
        }
        return CommandError{.code = ExitCode::NotInEffect,
                            .kind = "not_in_effect",
                            .detail = "member " + std::to_string(this->newId)
                                + " did not catch up with the log in time; the old member still votes",
                            .remedy = "check that the new process is running, then repeat the same command"};
    }

    // Compares with the last index of the first reply; otherwise appended entries could extend the wait indefinitely.
    bool hasCaughtUp(const Json &members, const Json &added)
    {
        if (added.contains("voter") && memberText(added, "voter") == "yes") {
            return true;
        }
        if (!this->targetIndex) {
            this->targetIndex = unsignedMember(members, "lastIndex");
        }
        const std::uint64_t replicatedIndex = unsignedMember(added, "matchIndex");
        return replicatedIndex > 0 && replicatedIndex >= *this->targetIndex;
    }

    CommandResult<ExitCode> promote()
    {
        BOOST_OUTCOME_TRY(const Json members, readMembers(this->client));
        const Json *added = findMember(members, std::to_string(this->newId));
        if (added == nullptr) {
            return unknownMemberError(std::to_string(this->newId));
        }
        if (memberText(*added, "voter") != "yes") {
            BOOST_OUTCOME_TRY(changeMembership(this->client, "promote", this->newId, this->instance));
        }
        return ExitCode::Done;
    }

    CommandResult<ExitCode> removeOld()
    {
        BOOST_OUTCOME_TRY(const Json members, readMembers(this->client));
        const Json *old = findMember(members, std::to_string(this->oldId));
        if (old != nullptr) {
            BOOST_OUTCOME_TRY(changeMembership(this->client, "remove", this->oldId, memberText(*old, "instance")));
        }
        return ExitCode::Done;
    }

    const OperatorClient &client;
    std::uint64_t oldId;
    std::uint64_t newId;
    std::string instance;
    std::optional<std::uint64_t> targetIndex;
};

CommandResult<ExitCode> runReplace(const Invocation &invocation)
{
    BOOST_OUTCOME_TRY(const std::uint64_t oldId, requiredId(invocation, "old", "OLD-ID"));
    BOOST_OUTCOME_TRY(const std::uint64_t newId, requiredId(invocation, "new", "NEW-ID"));
    if (oldId == newId) {
        return usageError("OLD-ID and NEW-ID must differ; a process with an empty data folder has a new id");
    }
    BOOST_OUTCOME_TRY(const std::chrono::seconds timeout, invocation.seconds("wait-timeout"));
    BOOST_OUTCOME_TRY(const OperatorClient client, OperatorClient::fromInvocation(invocation));
    BOOST_OUTCOME_TRY(MemberReplacement(client, oldId, newId, invocation.text("instance")).run(timeout));
    BOOST_OUTCOME_TRY(const Json members, readMembers(client));
    printResult(invocation, members, "member " + std::to_string(newId) + " votes now, member " + std::to_string(oldId) + " is removed");
    return ExitCode::Done;
}

constexpr std::array commands{
    Command{.name = "members",
            .arguments = "[list]",
            .summary = "List the members of the control group",
            .examples = "  galenawell members -a 192.0.2.11:8002 -t token\n",
            .addOptions = addListOptions,
            .run = runList},
    Command{.name = "members list",
            .arguments = "",
            .summary = "List the members of the control group",
            .examples = "  galenawell members list --json -a 192.0.2.11:8002 -t token\n",
            .addOptions = OperatorClient::addOptions,
            .run = runList},
    Command{.name = "members add",
            .arguments = "ID INSTANCE",
            .summary = "Add a member as a learner, without a vote",
            .examples = "  galenawell members add 7301884403 control-2 -a 192.0.2.11:8002 -t token\n",
            .addOptions = addAddOptions,
            .run = runAdd},
    Command{.name = "members promote",
            .arguments = "ID",
            .summary = "Give a learner a vote",
            .examples = "  galenawell members promote 7301884403 -a 192.0.2.11:8002 -t token\n",
            .addOptions = addIdOptions,
            .run = runPromote},
    Command{.name = "members remove",
            .arguments = "ID",
            .summary = "Remove a member",
            .examples = "  galenawell members remove 5520017748 -a 192.0.2.11:8002 -t token\n",
            .addOptions = addIdOptions,
            .run = runRemove},
    Command{.name = "members replace",
            .arguments = "OLD-ID NEW-ID",
            .summary = "Add, wait for the log, promote, remove the old one; repeating continues",
            .examples = "  galenawell members replace 5520017748 7301884403 -a 192.0.2.11:8002 -t token\n",
            .addOptions = addReplaceOptions,
            .run = runReplace},
};

} // namespace

} // namespace Detail

std::span<const Command> membersCommands()
{
    return Detail::commands;
}

} // namespace Galenawell

#include "galenawell/settings/nodesettings.h"

#include <criterion/criterion.h>

using namespace Galenawell;

namespace {

const std::string frontText = R"({
    // A comment.
    "instance": "front_1", "role": "front", "dataCentre": "a", "peerAddress": "10.0.0.1:7740", "peerKey": "k",
    "seeds": ["10.0.0.5:9000", "10.0.0.6:9000"], "callerAddress": "10.0.0.1:80", "dataFolder": "", "controlAddress": "",
    "unknown": {"to": "this version"}
})";

std::string without(const std::string &text, const std::string &part)
{
    std::string shorter = text;
    const std::size_t at = shorter.find(part);
    cr_assert(at != std::string::npos);
    return shorter.erase(at, part.size());
}

} // namespace

// Guards against settings that a newer platform writes stopping an older program, and against empty values of a template.
Test(nodesettings, unknown_and_empty_values_are_left_out)
{
    const Result<NodeSettings> settings = parseNodeSettings(frontText);
    cr_assert(settings.has_value());
    cr_assert(settings.value().role == ProcessRole::Front);
    cr_assert(!settings.value().controlAddress.has_value());
    cr_assert(settings.value().peerName() == "10.0.0.1:7740");
}

// Guards against a process that looks for its peers at the port of another listener.
Test(nodesettings, seeds_are_reached_at_the_peer_port)
{
    const NodeSettings settings = parseNodeSettings(frontText).value();
    cr_assert(settings.seedNames() == (std::vector<std::string>{"10.0.0.5:7740", "10.0.0.6:7740"}));
    cr_assert(!settings.isSeed());
}

// Guards against a start with a missing address, which would show only when the first caller comes.
Test(nodesettings, what_a_role_needs_is_named_when_it_is_missing)
{
    const Result<NodeSettings> noCaller = parseNodeSettings(without(frontText, R"("callerAddress": "10.0.0.1:80", )"));
    cr_assert(!noCaller.has_value() && noCaller.error().detail.find("/callerAddress") != std::string::npos);
    const Result<NodeSettings> noRole = parseNodeSettings(without(frontText, R"("role": "front", )"));
    cr_assert(!noRole.has_value() && noRole.error().detail.find("/role") != std::string::npos);
    const Result<NodeSettings> noSeeds = parseNodeSettings(without(frontText, R"("seeds": ["10.0.0.5:9000", "10.0.0.6:9000"], )"));
    cr_assert(!noSeeds.has_value() && noSeeds.error().detail.find("/seeds") != std::string::npos);
    cr_assert(!parseNodeSettings("[1]").has_value());
    cr_assert(!parseNodeSettings("{").has_value());
}

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

std::string withoutPart(const std::string &text, const std::string &part)
{
    std::string remaining = text;
    const std::size_t position = remaining.find(part);
    cr_assert(position != std::string::npos);
    return remaining.erase(position, part.size());
}

} // namespace

// Guards against rejecting keys of a newer version, and against reading a template's empty values as settings.
Test(nodesettings, unknown_and_empty_values_are_ignored)
{
    const Result<NodeSettings> settings = parseNodeSettings(frontText);
    cr_assert(settings.has_value());
    cr_assert(settings.value().role == ProcessRole::Front);
    cr_assert(!settings.value().controlAddress.has_value());
    cr_assert(settings.value().peerName() == "10.0.0.1:7740");
}

// Guards against a process that contacts its seeds at the port of another listener.
Test(nodesettings, seeds_are_reached_at_the_peer_port)
{
    const NodeSettings settings = parseNodeSettings(frontText).value();
    cr_assert(settings.seedNames() == (std::vector<std::string>{"10.0.0.5:7740", "10.0.0.6:7740"}));
    cr_assert(!settings.isSeed());
}

// Guards against a start with a missing address, which would be noticed only at the first request.
Test(nodesettings, a_missing_key_that_the_role_requires_is_named)
{
    const Result<NodeSettings> noCaller = parseNodeSettings(withoutPart(frontText, R"("callerAddress": "10.0.0.1:80", )"));
    cr_assert(!noCaller.has_value() && noCaller.error().detail.find("/callerAddress") != std::string::npos);
    const Result<NodeSettings> noRole = parseNodeSettings(withoutPart(frontText, R"("role": "front", )"));
    cr_assert(!noRole.has_value() && noRole.error().detail.find("/role") != std::string::npos);
    const Result<NodeSettings> noSeeds = parseNodeSettings(withoutPart(frontText, R"("seeds": ["10.0.0.5:9000", "10.0.0.6:9000"], )"));
    cr_assert(!noSeeds.has_value() && noSeeds.error().detail.find("/seeds") != std::string::npos);
    cr_assert(!parseNodeSettings("[1]").has_value());
    cr_assert(!parseNodeSettings("{").has_value());
}

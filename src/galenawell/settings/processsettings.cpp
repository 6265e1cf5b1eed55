#include "galenawell/settings/processsettings.h"

#include "galenawell/settings/objectreader.h"

#include <algorithm>
#include <array>
#include <boost/outcome/try.hpp>
#include <map>

namespace Galenawell {

namespace Detail {

namespace {

using Endpoint = boost::asio::ip::tcp::endpoint;

// The HMAC-SHA256 key should have at least as many bytes as the hash.
constexpr std::size_t minimumKeyLength = 32;
constexpr std::size_t minimumTokenLength = 16;
constexpr std::size_t maximumSecretLength = 1024;
constexpr std::size_t maximumPathLength = 4096;
constexpr IntegerRange peerCounts{.minimum = 1, .maximum = 16384};
constexpr IntegerRange threadCounts{.minimum = 1, .maximum = 64};
constexpr IntegerRange memoryRange{.minimum = std::uint64_t(1) << 20, .maximum = std::uint64_t(1) << 40};
constexpr IntegerRange connectionCounts{.minimum = 16, .maximum = 65536};

constexpr std::array roles{
    Choice<ProcessRole>{"front", ProcessRole::Front},
    Choice<ProcessRole>{"control", ProcessRole::Control},
};

constexpr std::string_view addressAllowed = "an \"IP:port\" address";
constexpr std::string_view roleAllowed = "\"front\" or \"control\"";

bool isVisible(char character)
{
    return character > ' ' && character <= '~';
}

bool isSecret(const std::string &text, std::size_t minimumLength)
{
    const bool lengthAllowed = text.size() >= minimumLength && text.size() <= maximumSecretLength;
    return lengthAllowed && std::all_of(text.begin(), text.end(), isVisible);
}

const TextRule keyRule{.accepts = [](const std::string &text) { return isSecret(text, minimumKeyLength); },
                       .allowed = "32 to 1024 visible ASCII characters",
                       .secret = true};

const TextRule tokenRule{.accepts = [](const std::string &text) { return isSecret(text, minimumTokenLength); },
                         .allowed = "16 to 1024 visible ASCII characters",
                         .secret = true};

const TextRule pathRule{.accepts = [](const std::string &text) { return text.starts_with('/') && text.size() <= maximumPathLength; },
                        .allowed = "an absolute path of at most 4096 bytes"};

constexpr std::array<Choice<std::string_view>, 6> logLevels{{
    {"trace", "trace"},
    {"debug", "debug"},
    {"info", "info"},
    {"warn", "warn"},
    {"error", "error"},
    {"off", "off"},
}};

void readLogLevel(ObjectReader &reader, ProcessSettings &settings)
{
    std::string_view level = settings.logLevel;
    reader.choice<std::string_view>("logLevel", level, logLevels);
    settings.logLevel = std::string(level);
}

void readIdentity(ObjectReader &reader, ProcessSettings &settings)
{
    reader.require("installation", nameRule.allowed);
    reader.require("instance", nameRule.allowed);
    reader.require("role", roleAllowed);
    reader.require("dataCentre", nameRule.allowed);
    reader.text("installation", settings.installation, nameRule);
    reader.text("instance", settings.instance, nameRule);
    reader.choice<ProcessRole>("role", settings.role, roles);
    reader.text("dataCentre", settings.dataCentre, nameRule);
}

void readAddresses(ObjectReader &reader, ProcessSettings &settings)
{
    reader.require("peerAddress", addressAllowed);
    reader.require("operatorAddress", addressAllowed);
    reader.endpoint("peerAddress", settings.peerAddress);
    reader.endpoint("operatorAddress", settings.operatorAddress);
    reader.endpoint("callerAddress", settings.callerAddress);
    reader.endpoint("backendAddress", settings.backendAddress);
}

void readStorage(ObjectReader &reader, ProcessSettings &settings)
{
    std::string dataFolder;
    reader.text("dataFolder", dataFolder, pathRule);
    reader.boolean("bootstrap", settings.bootstrap);
    settings.dataFolder = dataFolder;
}

void checkRoleKeys(ObjectReader &reader, ProcessRole role)
{
    if (role == ProcessRole::Front) {
        reader.require("callerAddress", addressAllowed);
        reader.require("backendAddress", addressAllowed);
        reader.forbid("dataFolder", "only a control process has it");
        reader.forbid("bootstrap", "only a control process has it");
    } else {
        reader.require("dataFolder", pathRule.allowed);
        reader.forbid("callerAddress", "only a front has it");
        reader.forbid("backendAddress", "only a front has it");
    }
}

PeerSettings readPeer(ObjectReader &reader)
{
    PeerSettings peer;
    reader.require("instance", nameRule.allowed);
    reader.require("role", roleAllowed);
    reader.require("dataCentre", nameRule.allowed);
    reader.require("peerAddress", addressAllowed);
    reader.text("instance", peer.instance, nameRule);
    reader.choice<ProcessRole>("role", peer.role, roles);
    reader.text("dataCentre", peer.dataCentre, nameRule);
    reader.endpoint("peerAddress", peer.peerAddress);
    reader.endpoint("callerAddress", peer.callerAddress);
    if (peer.role == ProcessRole::Front) {
        reader.require("callerAddress", addressAllowed);
    } else {
        reader.forbid("callerAddress", "only a front has it");
    }
    reader.finish();
    return peer;
}

// Rejects an address that two listeners would share, within the process or between processes.
class UniqueAddresses
{
public:
    void add(ObjectReader &reader, const std::string &key, const std::optional<Endpoint> &endpoint, const std::string &owner)
    {
        if (!endpoint) {
            return;
        }
        const auto [position, added] = this->owners.emplace(*endpoint, owner);
        if (!added) {
            reader.fail(key, "address " + toString(*endpoint) + " is already used by " + position->second + "; allowed is an unused one");
        }
    }

private:
    std::map<Endpoint, std::string> owners;
};

void checkOwnAddresses(ObjectReader &reader, const ProcessSettings &settings, UniqueAddresses &addresses)
{
    addresses.add(reader, "peerAddress", settings.peerAddress, "/peerAddress");
    addresses.add(reader, "operatorAddress", settings.operatorAddress, "/operatorAddress");
    addresses.add(reader, "callerAddress", settings.callerAddress, "/callerAddress");
    addresses.add(reader, "backendAddress", settings.backendAddress, "/backendAddress");
}

// The entry of this process among the peers must agree with its own settings.
void checkOwnEntry(ObjectReader &reader, const PeerSettings &peer, const ProcessSettings &settings)
{
    if (peer.role != settings.role) {
        reader.fail("role", "differs from /role; allowed is the same value");
    }
    if (peer.dataCentre != settings.dataCentre) {
        reader.fail("dataCentre", "differs from /dataCentre; allowed is the same value");
    }
    if (peer.peerAddress != settings.peerAddress) {
        reader.fail("peerAddress", "differs from /peerAddress; allowed is the same value");
    }
    if (peer.callerAddress != settings.callerAddress) {
        reader.fail("callerAddress", "differs from /callerAddress; allowed is the same value");
    }
}

void readPeers(ObjectReader &reader, ProcessSettings &settings, UniqueAddresses &addresses)
{
    std::map<InstanceName, std::size_t> positions;
    reader.require("peers", "an array with every process of the installation");
    for (ObjectReader &peerReader : reader.objects("peers", peerCounts)) {
        const PeerSettings peer = readPeer(peerReader);
        const auto [position, added] = positions.emplace(peer.instance, settings.peers.size());
        const std::string pointer = "/peers/" + std::to_string(settings.peers.size());
        if (!added) {
            peerReader.fail("instance",
                            "name is already used by /peers/" + std::to_string(position->second) + "; allowed is an unused one");
        }
        if (peer.instance == settings.instance) {
            checkOwnEntry(peerReader, peer, settings);
        } else {
            addresses.add(peerReader, "peerAddress", peer.peerAddress, pointer);
            addresses.add(peerReader, "callerAddress", peer.callerAddress, pointer);
        }
        settings.peers.push_back(peer);
    }
    if (!positions.contains(settings.instance)) {
        reader.fail("peers", "must contain this process, \"" + settings.instance + "\"");
    }
}

void checkPeerRoles(ObjectReader &reader, const ProcessSettings &settings)
{
    const auto isControl = [](const PeerSettings &peer) { return peer.role == ProcessRole::Control; };
    if (std::none_of(settings.peers.begin(), settings.peers.end(), isControl)) {
        reader.fail("peers", "must contain at least one process with the role \"control\"");
    }
    if (std::all_of(settings.peers.begin(), settings.peers.end(), isControl)) {
        reader.fail("peers", "must contain at least one process with the role \"front\"");
    }
}

void readSecrets(ObjectReader &reader, ProcessSettings &settings)
{
    reader.require("peerKey", keyRule.allowed);
    reader.require("operatorToken", tokenRule.allowed);
    reader.text("peerKey", settings.peerKey, keyRule);
    reader.text("operatorToken", settings.operatorToken, tokenRule);
}

} // namespace

} // namespace Detail

Result<ProcessSettings> parseProcessSettings(const MergedFolder &folder)
{
    FirstError firstError(ErrorKind::InvalidSetting, &folder);
    ObjectReader reader(folder.document, "", firstError);
    ProcessSettings settings;
    Detail::UniqueAddresses addresses;
    Detail::readIdentity(reader, settings);
    Detail::readAddresses(reader, settings);
    Detail::readStorage(reader, settings);
    Detail::checkRoleKeys(reader, settings.role);
    Detail::readSecrets(reader, settings);
    reader.integer("threads", settings.threads, Detail::threadCounts);
    reader.integer("maximumConnections", settings.maximumConnections, Detail::connectionCounts);
    reader.integer("requestMemoryBytes", settings.requestMemoryBytes, Detail::memoryRange);
    Detail::readLogLevel(reader, settings);
    Detail::checkOwnAddresses(reader, settings, addresses);
    Detail::readPeers(reader, settings, addresses);
    Detail::checkPeerRoles(reader, settings);
    reader.finish();
    if (firstError.failed()) {
        return firstError.error();
    }
    return settings;
}

Result<ProcessSettings> readProcessSettings(const std::filesystem::path &folder)
{
    BOOST_OUTCOME_TRY(const MergedFolder merged, readSettingsFolder(folder));
    return parseProcessSettings(merged);
}

} // namespace Galenawell

// Settings of one process: its role, names, addresses and data folder. Read once at startup.
#pragma once

#include "galenawell/core/error.h"
#include "galenawell/core/identifiers.h"
#include "galenawell/settings/settingsfolder.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace Galenawell {

enum class ProcessRole : std::uint8_t {
    Front,
    Control,
};

// One process of the installation. Fronts have the address that callers use.
struct PeerSettings
{
    InstanceName instance;
    ProcessRole role = ProcessRole::Front;
    std::string dataCentre;
    boost::asio::ip::tcp::endpoint peerAddress;
    std::optional<boost::asio::ip::tcp::endpoint> callerAddress;
};

struct ProcessSettings
{
    std::string installation;
    InstanceName instance;
    ProcessRole role = ProcessRole::Front;
    std::string dataCentre;
    boost::asio::ip::tcp::endpoint peerAddress;
    boost::asio::ip::tcp::endpoint operatorAddress;
    // Fronts only.
    std::optional<boost::asio::ip::tcp::endpoint> callerAddress;
    std::optional<boost::asio::ip::tcp::endpoint> backendAddress;
    // Control processes only.
    std::filesystem::path dataFolder;
    // Forms the first control group from the control peers when the data folder is empty.
    bool bootstrap = false;
    // Every process of the installation, this one included.
    std::vector<PeerSettings> peers;
    std::string peerKey;
    std::string operatorToken;
    unsigned threads = 2;
    std::size_t maximumConnections = 1024;
    // What the requests of all listeners may hold together.
    std::size_t requestMemoryBytes = std::size_t(20) * 1024 * 1024;
    std::string logLevel = "info";
};

// Validates a folder that has been read. Errors name file, JSON pointer and what is allowed.
Result<ProcessSettings> parseProcessSettings(const MergedFolder &folder);

// Reads and validates the folder. Errors name file, JSON pointer and what is allowed.
Result<ProcessSettings> readProcessSettings(const std::filesystem::path &folder);

} // namespace Galenawell

// Settings of one process of an installation whose processes find one another: it names a few seeds instead of every
// process. One JSON file with comments, read at start and again when it changes.
#pragma once

#include "galenawell/core/error.h"
#include "galenawell/core/identifiers.h"
#include "galenawell/settings/processsettings.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace Galenawell {

struct NodeSettings
{
    using Endpoint = boost::asio::ip::tcp::endpoint;

    // For logs and metrics; processes know one another by their peer addresses.
    InstanceName instance;
    ProcessRole role = ProcessRole::Front;
    std::string dataCentre;
    Endpoint peerAddress;
    // Control processes to ask for all others. Any address of their instances; the port is that of peerAddress.
    std::vector<Endpoint> seeds;
    std::string peerKey;
    Endpoint metricsAddress;

    // Fronts only.
    std::optional<Endpoint> callerAddress;
    std::optional<Endpoint> readinessAddress;

    // Control processes only: announcements and configurations, and the callers' question which front to use.
    std::optional<Endpoint> controlAddress;
    std::optional<Endpoint> directoryAddress;
    std::filesystem::path dataFolder;
    // Found a new installation if every seed's data folder is empty.
    bool foundInstallation = false;
    // Control processes that may be lost at once.
    std::size_t toleratedLosses = 1;

    // How often backend servers renew their announcements.
    std::chrono::milliseconds heartbeatInterval{1200};
    // Longest time that callers may keep the directory's answer.
    std::chrono::milliseconds directoryKeep{2000};
    // From SIGTERM to the end of the process.
    std::chrono::milliseconds gracePeriod{6000};
    // Subrequests beyond the first of each request, over all fronts: share of the requests, and a number in each window.
    double extraLoadPercent = 20.0;
    double extraLoadSlack = 54.0;
    std::chrono::milliseconds extraLoadWindow{10000};

    std::size_t maximumConnections = 1500;
    std::string logLevel = "info";

    // The name under which other processes know this one.
    InstanceName peerName() const;
    // How long an announcement of a backend server counts without renewal.
    std::chrono::milliseconds serverLease() const;
    // Names of the seeds, without this process.
    std::vector<InstanceName> seedNames() const;
    bool isSeed() const;
};

Result<NodeSettings> parseNodeSettings(const std::string &text);
// Errors name the file, the JSON pointer and what is allowed.
Result<NodeSettings> readNodeSettings(const std::filesystem::path &file);

} // namespace Galenawell

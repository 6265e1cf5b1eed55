// Settings of one process of an installation with peer discovery: they list a few seeds instead of every process. One
// JSON file with comments, read at startup and again when it changes.
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

    // For logs and metrics; peers identify the process by its peer address.
    InstanceName instance;
    ProcessRole role = ProcessRole::Front;
    std::string dataCentre;
    Endpoint peerAddress;
    // Control processes to contact for discovery. Any address of their instances; the port is that of peerAddress.
    std::vector<Endpoint> seeds;
    std::string peerKey;
    Endpoint metricsAddress;

    // Fronts only.
    std::optional<Endpoint> callerAddress;
    std::optional<Endpoint> readinessAddress;

    // Control processes only: for announcements and configurations, and for callers that look up a front.
    std::optional<Endpoint> controlAddress;
    std::optional<Endpoint> directoryAddress;
    std::filesystem::path dataFolder;
    // Initialises a new installation if every seed's data folder is empty.
    bool foundInstallation = false;
    // Control processes that may fail at once.
    std::size_t toleratedLosses = 1;

    // How often backend servers renew their announcements.
    std::chrono::milliseconds heartbeatInterval{1200};
    // Time for which callers may cache the directory's answer.
    std::chrono::milliseconds directoryCacheDuration{2000};
    // From SIGTERM to the end of the process.
    std::chrono::milliseconds gracePeriod{6000};
    // Limit of hedges and retries over all fronts: percentage of the requests, plus a number in each window.
    double extraLoadPercent = 20.0;
    double extraLoadSlack = 54.0;
    std::chrono::milliseconds extraLoadWindow{10000};

    // Of callers or, at a control process, of backend servers and operators. The other listeners have a part of it each.
    std::size_t maximumConnections = 1500;
    // Control processes only: connections of other processes.
    std::size_t maximumPeerConnections = 1536;
    // What the requests of all listeners may hold together.
    std::size_t requestMemoryBytes = std::size_t(20) * 1024 * 1024;
    // Fronts only: what the replies of all backend servers may hold together, until they are passed on.
    std::size_t replyMemoryBytes = std::size_t(32) * 1024 * 1024;
    std::string logLevel = "info";

    // The name by which peers identify this process.
    InstanceName peerName() const;
    // How long an announcement of a backend server is valid without renewal.
    std::chrono::milliseconds serverLease() const;
    // Names of the seeds other than this process.
    std::vector<InstanceName> seedNames() const;
    bool isSeed() const;
};

Result<NodeSettings> parseNodeSettings(const std::string &text);
// Errors name the file, the JSON pointer and what is allowed.
Result<NodeSettings> readNodeSettings(const std::filesystem::path &file);

} // namespace Galenawell

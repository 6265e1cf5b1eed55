// The hosted replicas, read from one JSON file that may contain comments.
#pragma once

#include "galenawell/configuration/configuration.h"
#include "galenawell/core/error.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Galenawell::StandIn {

struct ServiceSettings
{
    std::string name;
    ServiceKind kind = ServiceKind::Sharded;
    // A pool service has one group.
    std::size_t groups = 1;
    std::size_t replicasPerGroup = 1;
    // Replica n of the service listens on firstPort + n; with 0 the system chooses every port.
    std::uint16_t firstPort = 0;
    std::size_t slots = 4;
    std::size_t queueLength = 64;
    std::size_t connections = 40;
    std::chrono::milliseconds connectDelay{0};
    // Time after each start in which a replica announces itself as starting and refuses subrequests.
    std::chrono::milliseconds startingTime{0};
    double medianServiceMilliseconds = 2;
    double serviceTimeSigma = 0.5;
    // Number of slow replicas, spread evenly over the service; the factor multiplies their service times.
    std::size_t stragglers = 0;
    double stragglerFactor = 10;
    std::vector<std::uint64_t> versions;
    std::uint64_t epoch = 1;
    // Keys of the whole service, over all its groups.
    std::size_t keys = 10000;
};

struct Settings
{
    std::string ip = "127.0.0.1";
    std::uint16_t controlPort = 0;
    std::uint64_t seed = 1;
    std::vector<std::string> dataCentres;
    // Announcement addresses ("IP:port") of the fronts.
    std::vector<std::string> fronts;
    std::vector<ServiceSettings> services;
};

Result<Settings> readSettings(const std::string &path);

} // namespace Galenawell::StandIn

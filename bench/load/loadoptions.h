// Requests, rate and expected answers of the load driver.
#pragma once

#include "galenawell/core/error.h"
#include "galenawell/core/identifiers.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Galenawell::Load {

struct LoadOptions
{
    // Caller addresses of fronts that serve the entry list.
    std::vector<boost::asio::ip::tcp::endpoint> seedAddresses;
    std::string dataCentre;
    std::string service;
    // JSON text; "{n}" is replaced by the number of the request.
    std::string body = R"({"kind":"aggregate"})";
    // Relative weight of each priority.
    std::array<unsigned, priorityCount> mix{0, 1, 0};
    std::size_t callerCount = 4;
    std::chrono::milliseconds deadline{2000};
    bool idempotent = true;
    bool partialAllowed = false;
    // Answers of a pool service contain neither a snapshot nor a coverage.
    bool isPool = false;

    // Requests per second of an open loop; 0 selects the closed loop.
    double rate = 0;
    // Connections of a closed loop (default 8), or the in-flight limit of an open loop (default 1000).
    std::size_t connections = 0;
    std::chrono::seconds duration{10};
    std::uint64_t randomSeed = 1;

    std::optional<std::uint64_t> expectedRows;
    std::optional<std::uint64_t> expectedCount;
    // The stand-in's values are version * 1000 plus a smaller number, which identifies rows of another snapshot.
    bool standInValues = false;
    bool json = false;
};

// No value if --help was given; the help text has been printed.
Result<std::optional<LoadOptions>> parseLoadOptions(int argc, const char *const *argv);

// Rejects all but "IP:port" with a loopback address, so that the driver never loads another machine.
Result<boost::asio::ip::tcp::endpoint> parseLoopback(const std::string &address);

} // namespace Galenawell::Load

#include "loadoptions.h"

#include "galenawell/core/reasons.h"

#include <boost/asio/ip/address.hpp>
#include <boost/program_options.hpp>
#include <charconv>
#include <iostream>
#include <nlohmann/json.hpp>

namespace Galenawell::Load {

namespace {

namespace Options = boost::program_options;
using boost::outcome_v2::success;

constexpr std::size_t defaultConnections = 8;
constexpr std::size_t defaultRequestsInFlight = 1000;

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const std::size_t end = std::min(text.find(separator, begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

template<typename Number>
bool parseNumber(const std::string &text, Number &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size();
}

// "urgent=10,standard=80,bulk=10"; a priority that isn't listed gets no requests.
Status parseMix(const std::string &text, LoadOptions &options)
{
    options.mix = {};
    unsigned total = 0;
    for (const std::string &part : split(text, ',')) {
        const std::size_t equals = std::min(part.find('='), part.size());
        const std::optional<Priority> priority = priorityFromString(part.substr(0, equals));
        unsigned weight = 0;
        if (!priority || equals == part.size() || !parseNumber(part.substr(equals + 1), weight)) {
            return makeError(ErrorKind::InvalidSetting, "--mix has " + part + "; allowed are urgent=N, standard=N and bulk=N");
        }
        options.mix.at(static_cast<std::size_t>(*priority)) = weight;
        total += weight;
    }
    if (total == 0) {
        return makeError(ErrorKind::InvalidSetting, "--mix has no positive weight");
    }
    return success();
}

Options::options_description describeOptions(LoadOptions &options)
{
    Options::options_description description("galenawell-load sends queries to fronts on loopback addresses and checks each answer");
    auto add = description.add_options();
    add("help", "print this text");
    add("seeds", Options::value<std::string>()->required(), "caller addresses of fronts, IP:port separated by commas");
    add("service", Options::value(&options.service)->required(), "service to query");
    add("data-centre", Options::value(&options.dataCentre), "data centre sent with the request for the entry list");
    add("body", Options::value(&options.body), "body as JSON; {n} becomes the number of the request");
    add("mix", Options::value<std::string>(), "weights such as urgent=10,standard=80,bulk=10");
    add("callers", Options::value(&options.callerCount), "number of caller names");
    add("deadline", Options::value<unsigned>(), "deadline in milliseconds (2000)");
    add("non-idempotent", "send the requests as non-idempotent");
    add("partial-allowed", "accept partial answers");
    add("pool", "the service is a pool, whose answers have neither snapshot nor coverage");
    add("rate", Options::value(&options.rate), "open loop with this many requests per second");
    add("connections",
        Options::value(&options.connections),
        "connections of the closed loop (8), or most requests in flight of the open loop (1000)");
    add("duration", Options::value<unsigned>(), "length in seconds (10)");
    add("seed", Options::value(&options.randomSeed), "seed of arrivals, priorities and entries");
    add("expect-rows", Options::value<std::uint64_t>(), "rows of a complete answer");
    add("expect-count", Options::value<std::uint64_t>(), "aggregate count of a complete answer");
    add("stand-in-values", "check that each value belongs to the answer's version, as the stand-in writes them");
    add("json", "print the report as JSON");
    return description;
}

Status readValues(const Options::variables_map &values, LoadOptions &options)
{
    for (const std::string &address : split(values["seeds"].as<std::string>(), ',')) {
        const auto endpoint = parseLoopback(address);
        if (!endpoint) {
            return endpoint.error();
        }
        options.seedAddresses.push_back(endpoint.value());
    }
    if (values.count("mix") != 0) {
        Status mix = parseMix(values["mix"].as<std::string>(), options);
        if (!mix) {
            return mix;
        }
    }
    if (values.count("deadline") != 0) {
        options.deadline = std::chrono::milliseconds(values["deadline"].as<unsigned>());
    }
    if (values.count("duration") != 0) {
        options.duration = std::chrono::seconds(values["duration"].as<unsigned>());
    }
    if (values.count("expect-rows") != 0) {
        options.expectedRows = values["expect-rows"].as<std::uint64_t>();
    }
    if (values.count("expect-count") != 0) {
        options.expectedCount = values["expect-count"].as<std::uint64_t>();
    }
    options.idempotent = values.count("non-idempotent") == 0;
    options.partialAllowed = values.count("partial-allowed") != 0;
    options.isPool = values.count("pool") != 0;
    options.standInValues = values.count("stand-in-values") != 0;
    options.json = values.count("json") != 0;
    if (values.count("connections") == 0) {
        options.connections = options.rate > 0 ? defaultRequestsInFlight : defaultConnections;
    }
    return success();
}

Status validateOptions(const LoadOptions &options)
{
    if (options.connections == 0 || options.callerCount == 0 || options.rate < 0) {
        return makeError(ErrorKind::InvalidSetting, "--connections, --callers and --rate must be positive");
    }
    if (!nlohmann::json::accept(options.body)) {
        return makeError(ErrorKind::InvalidSetting, "--body isn't JSON");
    }
    return success();
}

} // namespace

Result<boost::asio::ip::tcp::endpoint> parseLoopback(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return makeError(ErrorKind::InvalidSetting, "address " + address + " isn't IP:port");
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    std::uint16_t port = 0;
    if (error || !parseNumber(address.substr(colon + 1), port) || port == 0) {
        return makeError(ErrorKind::InvalidSetting, "address " + address + " isn't IP:port");
    }
    if (!ip.is_loopback()) {
        return makeError(ErrorKind::InvalidSetting,
                         "address " + address + " isn't a loopback address; the driver sends load to no other machine");
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

Result<std::optional<LoadOptions>> parseLoadOptions(int argc, const char *const *argv)
{
    LoadOptions options;
    try {
        Options::variables_map values;
        const Options::options_description description = describeOptions(options);
        Options::store(Options::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0) {
            std::cout << description;
            return std::optional<LoadOptions>();
        }
        Options::notify(values);
        Status status = readValues(values, options);
        if (status) {
            status = validateOptions(options);
        }
        if (!status) {
            return status.error();
        }
    } catch (const Options::error &error) {
        return makeError(ErrorKind::InvalidSetting, error.what());
    }
    return std::optional(std::move(options));
}

} // namespace Galenawell::Load

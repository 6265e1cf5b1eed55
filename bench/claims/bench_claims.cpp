// Processor time and memory of the claim ledger and of the registry by size. Prints the table of the capacity page.
#include "galenawell/control/controlstate.h"
#include "galenawell/registry/backendregistry.h"

#include "measurement.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <optional>

using namespace Galenawell;
using namespace Galenawell::Bench;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t firstIssueMs = 1'800'000'000'000;

// A typical answer of a pool service: a status and a few identifiers.
constexpr std::size_t answerBytes = 200;

constexpr double microsecondsPerSecond = 1e6;
constexpr double millisecondsPerSecond = 1e3;

const ClaimOwner owner{.front = "entry-3", .incarnation = 1'800'000'000'123, .attempt = 123'456};

WallTime issueTime(std::size_t number)
{
    return WallTime(milliseconds(firstIssueMs + static_cast<std::int64_t>(number)));
}

ClaimRequest makeClaimRequest(std::size_t number)
{
    Claim claim;
    claim.id = std::to_string(firstIssueMs + static_cast<std::int64_t>(number)) + "-4f1c9a7730bd2e65";
    claim.service = "pack-builder";
    claim.contentDigest = "0123456789abcdef";
    claim.owner = owner;
    claim.deadline = issueTime(number) + milliseconds(2000);
    return ClaimRequest{std::move(claim)};
}

void measureClaims(ControlState &state, std::size_t claims, MeasurementTable &table)
{
    std::vector<ControlCommand> requests;
    std::vector<ControlCommand> outcomes;
    for (std::size_t number = 0; number < claims; ++number) {
        ClaimRequest request = makeClaimRequest(number);
        outcomes.emplace_back(
            RecordOutcome{.id = request.claim.id, .owner = owner, .state = ClaimState::Ran, .answer = std::string(answerBytes, 'x')});
        requests.emplace_back(std::move(request));
    }
    const auto applyAll = [&state](const std::vector<ControlCommand> &commands) {
        for (const ControlCommand &command : commands) {
            state.apply(command, 1);
        }
    };
    const std::size_t before = heapBytes();
    const double claimTime = processorTimeOf([&applyAll, &requests] { applyAll(requests); });
    const std::size_t afterClaims = heapBytes();
    const double outcomeTime = processorTimeOf([&applyAll, &outcomes] { applyAll(outcomes); });
    const std::size_t afterOutcomes = heapBytes();
    const auto count = static_cast<double>(claims);
    table.add("claim, applied", "µs a claim", claims, claimTime * microsecondsPerSecond / count);
    table.add("outcome, applied", "µs a claim", claims, outcomeTime * microsecondsPerSecond / count);
    table.add("memory, running", "bytes a claim", claims, static_cast<double>(afterClaims - before) / count);
    table.add("memory, ran with an answer of 200 bytes", "bytes a claim", claims, static_cast<double>(afterOutcomes - before) / count);
}

void measureCodec(std::size_t claims, MeasurementTable &table)
{
    const ControlCommand command = makeClaimRequest(0);
    const std::string bytes = encodeControlCommand(command);
    const auto decodeAll = [&bytes, claims] {
        for (std::size_t number = 0; number < claims; ++number) {
            if (!decodeControlCommand(bytes).has_value()) {
                std::abort();
            }
        }
    };
    table.add(
        "claim command, decoded", "µs a command", claims, processorTimeOf(decodeAll) * microsecondsPerSecond / static_cast<double>(claims));
    table.add("claim command, encoded size", "bytes", claims, static_cast<double>(bytes.size()));
}

void measureLedger(std::size_t claims, MeasurementTable &table)
{
    ControlState state;
    state.apply(AdvanceTime{.now = issueTime(0), .watermark = issueTime(0) - std::chrono::hours(24)}, 1);
    measureClaims(state, claims, table);

    std::string snapshot;
    const double serialiseTime = processorTimeOf([&state, &snapshot] { snapshot = state.serialise(); });
    table.add("snapshot, size", "bytes a claim", claims, static_cast<double>(snapshot.size()) / static_cast<double>(claims));
    table.add("snapshot, written", "ms", claims, serialiseTime * millisecondsPerSecond);
    const double restoreTime = processorTimeOf([&snapshot] {
        if (!ControlState::restore(snapshot).has_value()) {
            std::abort();
        }
    });
    table.add("snapshot, restored", "ms", claims, restoreTime * millisecondsPerSecond);

    const AdvanceTime timeWithoutExpiry{.now = issueTime(1), .watermark = issueTime(0) - std::chrono::hours(24)};
    table.add("time command without expiry",
              "µs",
              claims,
              processorTimeOf([&state, &timeWithoutExpiry] { state.apply(timeWithoutExpiry, 2); }) * microsecondsPerSecond);
    const AdvanceTime timeExpiringAll{.now = issueTime(claims) + std::chrono::hours(24), .watermark = issueTime(claims)};
    const double expiryTime = processorTimeOf([&state, &timeExpiringAll] { state.apply(timeExpiringAll, 3); });
    table.add("expiry", "µs a claim", claims, expiryTime * microsecondsPerSecond / static_cast<double>(claims));
}

BackendRecord makeBackendRecord(std::size_t number)
{
    BackendRecord record;
    record.key = {.service = "signing-room",
                  .group = "group-" + std::to_string(number % 1000),
                  .address = "10.20." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":7100"};
    record.dataCentre = "montevideo-1";
    record.incarnation = 1'800'000'000'123;
    record.sequence = 1;
    record.state = BackendState::Ready;
    record.epoch = 12;
    record.range = {.begin = "key-" + std::to_string(number), .end = "key-" + std::to_string(number + 1)};
    record.versions = {41, 42};
    return record;
}

// An origin, which with the 7 entry instances of today holds a seventh of the servers, and a peer that applies its updates.
struct RegistryPair
{
    explicit RegistryPair(std::size_t servers)
        : origin({.self = "entry-1", .incarnation = 1, .changeLogCapacity = 100'000})
        , peer({.self = "entry-2", .incarnation = 1})
    {
        for (std::size_t number = 0; number < servers; ++number) {
            this->records.push_back(makeBackendRecord(number));
        }
    }

    void announceAll(std::uint64_t sequence, BackendState state, TimePoint now)
    {
        for (BackendRecord &record : this->records) {
            record.sequence = sequence;
            record.state = state;
            if (!this->origin.announce(record, now).has_value()) {
                std::abort();
            }
        }
    }

    std::vector<BackendRecord> records;
    BackendRegistry origin;
    BackendRegistry peer;
};

void measureRegistry(std::size_t servers, MeasurementTable &table)
{
    const TimePoint start{std::chrono::hours(1)};
    const auto count = static_cast<double>(servers);
    RegistryPair registries(servers);
    const auto microsecondsPerServer = [count](double seconds) { return seconds * microsecondsPerSecond / count; };

    const std::size_t before = heapBytes();
    const auto announceNew = [&registries, start] { registries.announceAll(1, BackendState::Starting, start); };
    table.add("registry: new server, announced", "µs a server", servers, microsecondsPerServer(processorTimeOf(announceNew)));
    table.add("registry: memory of a holder with its feed", "bytes a record", servers, static_cast<double>(heapBytes() - before) / count);
    const auto renewAll = [&registries, start] { registries.announceAll(2, BackendState::Starting, start); };
    table.add("registry: renewal", "µs a server", servers, microsecondsPerServer(processorTimeOf(renewAll)));

    const RegistryUpdate full = registries.origin.updateSince(0);
    const std::size_t beforePeer = heapBytes();
    const double fullTime = processorTimeOf([&registries, &full, start] { registries.peer.applyUpdate(full, start); });
    table.add("registry: full set, applied", "µs a record", servers, microsecondsPerServer(fullTime));
    table.add("registry: memory at a peer", "bytes a record", servers, static_cast<double>(heapBytes() - beforePeer) / count);

    registries.announceAll(3, BackendState::Ready, start);
    const RegistryUpdate changes = registries.origin.updateSince(full.through);
    const double changeTime = processorTimeOf([&registries, &changes, start] { registries.peer.applyUpdate(changes, start); });
    table.add("registry: change, applied", "µs a change", servers, microsecondsPerServer(changeTime));
    table.add("registry: visible set, read", "µs a record", servers, microsecondsPerServer(processorTimeOf([&registries] {
                  registries.peer.visible();
              })));
    const auto expireScan = [&registries, start] { registries.origin.expire(start + milliseconds(10)); };
    table.add("registry: expiry scan of a holder", "µs", servers, processorTimeOf(expireScan) * microsecondsPerSecond);
}

// A renewal searches the records of every other origin for newer ones of the same server.
void measureOrigins(std::size_t originCount, MeasurementTable &table)
{
    constexpr std::size_t recordsPerOrigin = 10;
    const TimePoint start{std::chrono::hours(1)};
    RegistryPair registries(recordsPerOrigin);
    registries.announceAll(1, BackendState::Ready, start);
    for (std::size_t number = 0; number < originCount; ++number) {
        RegistryUpdate update{
            .origin = "front-" + std::to_string(number), .originIncarnation = 1, .full = true, .through = 1, .changes = {}};
        for (std::size_t record = 0; record < recordsPerOrigin; ++record) {
            update.changes.push_back(
                {.number = 1, .record = makeBackendRecord((number + 1) * recordsPerOrigin + record), .removed = false});
        }
        registries.origin.applyUpdate(update, start);
    }
    constexpr std::uint64_t rounds = 20;
    const double time = processorTimeOf([&registries, start] {
        for (std::uint64_t round = 0; round < rounds; ++round) {
            registries.announceAll(2 + round, BackendState::Ready, start);
        }
    });
    table.add("registry: renewal, by number of holders", "µs", originCount, time * microsecondsPerSecond / (rounds * recordsPerOrigin));
    const auto expireScan = [&registries, start] { registries.origin.expire(start + milliseconds(10)); };
    table.add("registry: expiry scan, by number of holders", "µs", originCount, processorTimeOf(expireScan) * microsecondsPerSecond);
}

struct Arguments
{
    unsigned runs = 5;
    std::size_t largestClaims = 1'000'000;
};

std::optional<Arguments> parseArguments(int count, char **values)
{
    namespace Options = boost::program_options;
    Arguments arguments;
    Options::options_description description("Options");
    auto add = description.add_options();
    add("help", "print this text");
    add("runs", Options::value(&arguments.runs)->default_value(arguments.runs), "repetitions of each measurement");
    add("largest-claims", Options::value(&arguments.largestClaims)->default_value(arguments.largestClaims), "skip larger ledgers");
    Options::variables_map parsed;
    try {
        Options::store(Options::parse_command_line(count, values, description), parsed);
    } catch (const Options::error &error) {
        std::cerr << error.what() << "\n" << description;
        return std::nullopt;
    }
    Options::notify(parsed);
    if (parsed.contains("help")) {
        std::cout << description;
        return std::nullopt;
    }
    return arguments;
}

} // namespace

int main(int count, char **values)
{
    const std::optional<Arguments> arguments = parseArguments(count, values);
    if (!arguments.has_value()) {
        return 2;
    }
    MeasurementTable table;
    for (unsigned run = 0; run < arguments->runs; ++run) {
        for (const std::size_t claims : {10'000UL, 100'000UL, 1'000'000UL}) {
            if (claims <= arguments->largestClaims) {
                measureCodec(claims, table);
                measureLedger(claims, table);
            }
        }
        for (const std::size_t servers : {100UL, 1'000UL, 10'000UL, 57'000UL}) {
            measureRegistry(servers, table);
        }
        for (const std::size_t originCount : {6UL, 100UL, 1'000UL, 8'000UL}) {
            measureOrigins(originCount, table);
        }
    }
    table.print();
    return 0;
}

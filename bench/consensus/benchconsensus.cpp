// Measures commit latency with real syncs, and restart time against the number of changes. Prints two tables.
#include "threadedcluster.h"

#include "galenawell/consensus/datafolder.h"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <functional>
#include <iostream>

namespace Galenawell::Bench {

namespace {

namespace options = boost::program_options;

constexpr std::size_t payloadBytes = 200;
constexpr std::size_t entriesPerWrite = 50;
// Size of the applied state in each snapshot: 1,000 claims of 200 bytes.
constexpr std::size_t stateBytes = 200 * 1000UL;
constexpr int restartRuns = 5;

void exitOnError(const Status &status)
{
    if (!status) {
        std::fprintf(stderr, "bench-consensus: %s\n", status.error().message().c_str());
        std::exit(1);
    }
}

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

void printLatencies(const std::string &name, std::vector<Duration> latencies, Duration total)
{
    std::ranges::sort(latencies);
    const auto at = [&latencies](double quantile) {
        return milliseconds(latencies[static_cast<std::size_t>(quantile * static_cast<double>(latencies.size() - 1))]);
    };
    std::printf("%-34s %8zu %9.2f %9.2f %9.2f %10.0f\n",
                name.c_str(),
                latencies.size(),
                at(0.5),
                at(0.99),
                at(1),
                static_cast<double>(latencies.size()) * 1000 / milliseconds(total));
}

// Lower bound of any commit latency: one append of a payload and its sync.
void measureSync(const std::filesystem::path &folder, std::size_t count)
{
    const std::filesystem::path path = folder / "sync";
    Result<Detail::File> file = Detail::File::open(path, O_WRONLY | O_CREAT | O_APPEND);
    if (!file) {
        exitOnError(file.error());
    }
    const std::string payload(payloadBytes, 'x');
    std::vector<Duration> latencies;
    const TimePoint start = MonotonicClock::now();
    for (std::size_t index = 0; index < count; ++index) {
        const TimePoint writeStart = MonotonicClock::now();
        exitOnError(Detail::writeAll(file.value(), payload, path));
        exitOnError(Detail::syncData(file.value(), path));
        latencies.push_back(MonotonicClock::now() - writeStart);
    }
    printLatencies("write and sync of 200 bytes", std::move(latencies), MonotonicClock::now() - start);
}

void measureCommits(const std::filesystem::path &folder, std::size_t count)
{
    std::printf("%-34s %8s %9s %9s %9s %10s\n", "commits", "count", "p50 ms", "p99 ms", "max ms", "per second");
    measureSync(folder, count);
    for (const std::size_t voters : {std::size_t(1), std::size_t(3), std::size_t(5)}) {
        ThreadedCluster cluster(folder / ("commit-" + std::to_string(voters)), voters);
        // Excludes the first election from the measurement.
        cluster.commit(1, 1, "first");
        for (const std::size_t outstanding : {std::size_t(1), std::size_t(16), std::size_t(256)}) {
            const TimePoint start = MonotonicClock::now();
            std::vector<Duration> latencies = cluster.commit(count, outstanding, std::string(payloadBytes, 'x'));
            const std::string name = std::to_string(voters) + " voters, " + std::to_string(outstanding) + " outstanding";
            printLatencies(name, std::move(latencies), MonotonicClock::now() - start);
        }
    }
}

void writeLog(const std::filesystem::path &folder, LogIndex changes, LogIndex snapshotEvery)
{
    Result<LogStorage> storage = LogStorage::open({.folder = folder});
    if (!storage) {
        exitOnError(storage.error());
    }
    RaftOutput output;
    output.hardState = HardState{.term = 1, .votedFor = 0};
    for (LogIndex index = 1; index <= changes; ++index) {
        output.append.push_back({.index = index, .term = 1, .kind = EntryKind::Command, .payload = std::string(payloadBytes, 'x')});
        if (output.append.size() == entriesPerWrite || index == changes) {
            exitOnError(storage.value().store(output));
            output = RaftOutput{};
        }
        // The last snapshot is half an interval old, as on average.
        if (snapshotEvery > 0 && index % snapshotEvery == snapshotEvery / 2) {
            exitOnError(
                storage.value().storeSnapshot({.index = index, .term = 1, .membership = {}, .state = std::string(stateBytes, 's')}));
        }
    }
}

void measureRestart(const std::filesystem::path &folder, LogIndex changes, LogIndex snapshotEvery)
{
    writeLog(folder, changes, snapshotEvery);
    std::vector<Duration> times;
    std::size_t bytes = 0;
    std::size_t entries = 0;
    for (int run = 0; run < restartRuns; ++run) {
        const TimePoint start = MonotonicClock::now();
        Result<LogStorage> storage = LogStorage::open({.folder = folder});
        if (!storage) {
            exitOnError(storage.error());
        }
        const RaftNode node({.self = storage.value().identity()}, storage.value().restored(), 1, MonotonicClock::now());
        times.push_back(MonotonicClock::now() - start);
        bytes = storage.value().bytesOnDisk();
        entries = storage.value().restored().entries.size();
    }
    std::ranges::sort(times);
    std::printf("%10llu %12s %10.2f %10.2f %10zu %10.1f\n",
                static_cast<unsigned long long>(changes),
                snapshotEvery > 0 ? std::to_string(snapshotEvery).c_str() : "never",
                milliseconds(times[restartRuns / 2]),
                milliseconds(times.back()),
                entries,
                static_cast<double>(bytes) / 1000);
}

void measureRestarts(const std::filesystem::path &folder)
{
    constexpr LogIndex interval = 1000;
    std::printf("\n%10s %12s %10s %10s %10s %10s\n", "changes", "snapshots", "p50 ms", "max ms", "entries", "KB on disk");
    for (const LogIndex snapshotEvery : {interval, LogIndex(0)}) {
        for (const LogIndex changes : {1000, 3000, 10000, 30000, 100000}) {
            measureRestart(folder / ("restart-" + std::to_string(snapshotEvery) + "-" + std::to_string(changes)), changes, snapshotEvery);
        }
    }
}

int run(int argc, char **argv)
{
    options::options_description description("bench-consensus");
    description.add_options()("help", "print this text")("folder",
                                                         options::value<std::string>()->default_value("bench-consensus-data"),
                                                         "folder on the disk to measure; created, and deleted afterwards")(
        "commits", options::value<std::size_t>()->default_value(1000), "commits of each kind");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    const std::filesystem::path folder = values["folder"].as<std::string>();
    if (std::filesystem::exists(folder)) {
        std::fprintf(stderr, "bench-consensus: the folder exists; name another one\n");
        return 1;
    }
    exitOnError(Detail::createFolder(folder));
    measureCommits(folder, values["commits"].as<std::size_t>());
    measureRestarts(folder);
    std::filesystem::remove_all(folder);
    return 0;
}

} // namespace

} // namespace Galenawell::Bench

int main(int argc, char **argv)
{
    try {
        return Galenawell::Bench::run(argc, argv);
    } catch (const std::exception &exception) {
        std::fprintf(stderr, "bench-consensus: %s\n", exception.what());
        return 1;
    }
}

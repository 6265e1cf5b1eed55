// Measures each defence of the admission queue, on and off, in virtual time. The figures of docs/admission.md come from it.
#include "simulation.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>

namespace {

using namespace Galenawell;
using namespace Galenawell::Bench;

// Offered urgent load, and capacity that a flood exceeds tenfold, as fractions of the capacity.
constexpr double normalLoad = 0.2;
constexpr double floodLoad = 10;

struct Spread
{
    double median;
    double lowest;
    double highest;
};

Spread spreadOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {.median = values[values.size() / 2], .lowest = values.front(), .highest = values.back()};
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(values.size() - 1) * fraction);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

Scenario makeScenario(const std::string &name, std::array<double, priorityCount> loads)
{
    Scenario scenario;
    scenario.name = name;
    constexpr std::array<std::chrono::milliseconds, priorityCount> deadlines{
        std::chrono::milliseconds(500), std::chrono::milliseconds(2000), std::chrono::milliseconds(10000)};
    for (std::size_t priority = 0; priority < priorityCount; ++priority) {
        scenario.traffic[priority].rate = loads[priority] * scenario.backend.capacity();
        scenario.traffic[priority].deadline = deadlines[priority];
    }
    return scenario;
}

std::vector<AdmissionVariant> allDefences()
{
    return {
        {.name = "all on"},
        {.name = "gradient limit", .algorithm = LimitAlgorithm::LatencyGradient},
        {.name = "no priorities", .priorities = false},
        {.name = "no floors", .floors = false},
        {.name = "no shares", .shares = false},
        {.name = "no limit", .algorithm = LimitAlgorithm::Fixed},
        {.name = "all off", .priorities = false, .floors = false, .shares = false, .algorithm = LimitAlgorithm::Fixed},
    };
}

std::vector<Scenario> floodScenarios()
{
    std::vector<Scenario> scenarios{
        makeScenario("bulk flood", {normalLoad, 0, floodLoad}),
        makeScenario("bulk flood, slow middle", {normalLoad, 0, floodLoad}),
        makeScenario("urgent flood", {floodLoad, 1, 1}),
    };
    scenarios[1].backend.middleFactor = 3;
    return scenarios;
}

std::string format(const Spread &spread, const char *pattern)
{
    std::array<char, 96> text{};
    std::snprintf(text.data(), text.size(), pattern, spread.median, spread.lowest, spread.highest);
    return text.data();
}

// One value per seed of each measured quantity.
struct Samples
{
    std::vector<double> urgentRatio;
    std::vector<double> urgentRefused;
    std::vector<double> throughput;
    std::vector<double> standardShare;
    std::vector<double> bulkShare;
    std::vector<double> limits;
};

void collect(Samples &samples, const Scenario &scenario, const RunResult &result, double unloadedP99)
{
    double starts = 0;
    double ended = 0;
    for (const ClassResult &each : result.classes) {
        starts += static_cast<double>(each.started);
        ended += static_cast<double>(each.latencies.size());
    }
    const ClassResult &urgent = result.classes[0];
    samples.urgentRatio.push_back(percentile(urgent.latencies, 0.99) / unloadedP99);
    samples.urgentRefused.push_back(100 * static_cast<double>(urgent.refused) / static_cast<double>(urgent.offered));
    samples.throughput.push_back(100 * ended / static_cast<double>(scenario.length.count()) / scenario.backend.capacity());
    samples.standardShare.push_back(100 * static_cast<double>(result.classes[1].started) / starts);
    samples.bulkShare.push_back(100 * static_cast<double>(result.classes[2].started) / starts);
    samples.limits.push_back(static_cast<double>(result.limit));
}

void measure(const Scenario &scenario, unsigned seeds)
{
    std::printf("\n%s\n", scenario.name.c_str());
    std::printf("%-15s %-22s %-20s %-20s %-20s %-20s %s\n",
                "defences",
                "urgent p99/unloaded",
                "urgent refused %",
                "throughput %",
                "standard starts %",
                "bulk starts %",
                "last limit");
    for (const AdmissionVariant &defences : allDefences()) {
        Samples samples;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            Scenario unloaded = makeScenario("unloaded", {normalLoad, 0, 0});
            const double unloadedP99 = percentile(
                Simulation(unloaded, {.name = "unloaded", .algorithm = LimitAlgorithm::Fixed}, seed).run().classes[0].latencies, 0.99);
            collect(samples, scenario, Simulation(scenario, defences, seed).run(), unloadedP99);
        }
        std::printf("%-15s %-22s %-20s %-20s %-20s %-20s %s\n",
                    defences.name.c_str(),
                    format(spreadOf(samples.urgentRatio), "%.2f (%.2f-%.2f)").c_str(),
                    format(spreadOf(samples.urgentRefused), "%.1f (%.1f-%.1f)").c_str(),
                    format(spreadOf(samples.throughput), "%.1f (%.1f-%.1f)").c_str(),
                    format(spreadOf(samples.standardShare), "%.1f (%.1f-%.1f)").c_str(),
                    format(spreadOf(samples.bulkShare), "%.1f (%.1f-%.1f)").c_str(),
                    format(spreadOf(samples.limits), "%.0f (%.0f-%.0f)").c_str());
    }
}

} // namespace

int main(int argc, char **argv)
{
    namespace Options = boost::program_options;
    unsigned seeds = 5;
    long seconds = 30;
    Options::options_description description("galenawell-admission-bench measures the admission queue in virtual time");
    description.add_options()("help", "print this text")("seeds", Options::value(&seeds), "runs of each case, seeds 1 to N")(
        "seconds", Options::value(&seconds), "virtual length of a run after 5 s of warm-up");
    try {
        Options::variables_map values;
        Options::store(Options::parse_command_line(argc, argv, description), values);
        Options::notify(values);
        if (values.count("help") != 0 || seeds == 0 || seconds <= 0) {
            std::cout << description;
            return values.count("help") != 0 ? 0 : 2;
        }
        std::printf("median (lowest-highest) of %u seeds, %ld s each\n", seeds, seconds);
        for (Scenario scenario : floodScenarios()) {
            scenario.length = std::chrono::seconds(seconds);
            measure(scenario, seeds);
        }
    } catch (const std::exception &exception) {
        std::cerr << "admission bench: " << exception.what() << '\n';
        return 1;
    }
    return 0;
}

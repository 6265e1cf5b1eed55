// Measures the admission queue in virtual time with each of its mechanisms on and off. Source of the figures in
// docs/admission.md.
#include "admissionsimulation.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>

namespace {

using namespace Galenawell;
using namespace Galenawell::Bench;

// Offered load as a multiple of the capacity.
constexpr double normalLoadFactor = 0.2;
constexpr double floodLoadFactor = 10;

struct Summary
{
    double median;
    double lowest;
    double highest;
};

Summary summarise(std::vector<double> values)
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

Scenario makeScenario(const std::string &name, std::array<double, priorityCount> loadFactors)
{
    Scenario scenario;
    scenario.name = name;
    constexpr std::array<std::chrono::milliseconds, priorityCount> deadlines{
        std::chrono::milliseconds(500), std::chrono::milliseconds(2000), std::chrono::milliseconds(10000)};
    for (std::size_t priority = 0; priority < priorityCount; ++priority) {
        scenario.traffic[priority].rate = loadFactors[priority] * scenario.backend.capacity();
        scenario.traffic[priority].deadline = deadlines[priority];
    }
    return scenario;
}

std::vector<AdmissionVariant> admissionVariants()
{
    return {
        {.name = "all on"},
        {.name = "gradient limit", .algorithm = LimitAlgorithm::LatencyGradient},
        {.name = "no priorities", .usesPriorities = false},
        {.name = "no floors", .usesFloors = false},
        {.name = "no shares", .capsLowerPriorities = false},
        {.name = "no limit", .algorithm = LimitAlgorithm::Fixed},
        {.name = "all off", .usesPriorities = false, .usesFloors = false, .capsLowerPriorities = false, .algorithm = LimitAlgorithm::Fixed},
    };
}

std::vector<Scenario> floodScenarios()
{
    std::vector<Scenario> scenarios{
        makeScenario("bulk flood", {normalLoadFactor, 0, floodLoadFactor}),
        makeScenario("bulk flood, slow middle", {normalLoadFactor, 0, floodLoadFactor}),
        makeScenario("urgent flood", {floodLoadFactor, 1, 1}),
    };
    scenarios[1].backend.middleThirdSlowdown = 3;
    return scenarios;
}

std::string format(const Summary &summary, const char *formatString)
{
    std::array<char, 96> text{};
    std::snprintf(text.data(), text.size(), formatString, summary.median, summary.lowest, summary.highest);
    return text.data();
}

// One value per seed of each measured quantity.
struct Samples
{
    std::vector<double> urgentLatencyRatio;
    std::vector<double> urgentRefusedPercent;
    std::vector<double> throughputPercent;
    std::vector<double> standardStartPercent;
    std::vector<double> bulkStartPercent;
    std::vector<double> finalLimits;
};

void addSamples(Samples &samples, const Scenario &scenario, const RunResult &result, double unloadedP99)
{
    double started = 0;
    double completed = 0;
    for (const PriorityResult &priorityResult : result.byPriority) {
        started += static_cast<double>(priorityResult.started);
        completed += static_cast<double>(priorityResult.latenciesMs.size());
    }
    const PriorityResult &urgent = result.byPriority[0];
    samples.urgentLatencyRatio.push_back(percentile(urgent.latenciesMs, 0.99) / unloadedP99);
    samples.urgentRefusedPercent.push_back(100 * static_cast<double>(urgent.refused) / static_cast<double>(urgent.offered));
    samples.throughputPercent.push_back(100 * completed / static_cast<double>(scenario.measuredDuration.count())
                                        / scenario.backend.capacity());
    samples.standardStartPercent.push_back(100 * static_cast<double>(result.byPriority[1].started) / started);
    samples.bulkStartPercent.push_back(100 * static_cast<double>(result.byPriority[2].started) / started);
    samples.finalLimits.push_back(static_cast<double>(result.finalLimit));
}

void measureScenario(const Scenario &scenario, unsigned seeds)
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
    for (const AdmissionVariant &variant : admissionVariants()) {
        Samples samples;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            Scenario unloaded = makeScenario("unloaded", {normalLoadFactor, 0, 0});
            const double unloadedP99
                = percentile(AdmissionSimulation(unloaded, {.name = "unloaded", .algorithm = LimitAlgorithm::Fixed}, seed)
                                 .run()
                                 .byPriority[0]
                                 .latenciesMs,
                             0.99);
            addSamples(samples, scenario, AdmissionSimulation(scenario, variant, seed).run(), unloadedP99);
        }
        std::printf("%-15s %-22s %-20s %-20s %-20s %-20s %s\n",
                    variant.name.c_str(),
                    format(summarise(samples.urgentLatencyRatio), "%.2f (%.2f-%.2f)").c_str(),
                    format(summarise(samples.urgentRefusedPercent), "%.1f (%.1f-%.1f)").c_str(),
                    format(summarise(samples.throughputPercent), "%.1f (%.1f-%.1f)").c_str(),
                    format(summarise(samples.standardStartPercent), "%.1f (%.1f-%.1f)").c_str(),
                    format(summarise(samples.bulkStartPercent), "%.1f (%.1f-%.1f)").c_str(),
                    format(summarise(samples.finalLimits), "%.0f (%.0f-%.0f)").c_str());
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
            scenario.measuredDuration = std::chrono::seconds(seconds);
            measureScenario(scenario, seeds);
        }
    } catch (const std::exception &exception) {
        std::cerr << "admission bench: " << exception.what() << '\n';
        return 1;
    }
    return 0;
}

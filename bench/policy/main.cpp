// Compares each routing mechanism on and off in the same run, and measures the processor time of Scatter.
#include "replicamodel.h"
#include "scattercost.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <string>

namespace Galenawell::Bench {

namespace {

// 15 slots in each group, 4 ms per subrequest.
constexpr double saturatedQueriesPerSecond = 15 / 0.004;

struct Statistics
{
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double extraPercent = 0;
    double answeredPercent = 0;
    double answeredPerSecond = 0;
};

struct Variant
{
    std::string mechanism;
    std::string setting;
    // The priority whose results are printed.
    Priority priority = Priority::Standard;
    std::function<std::unique_ptr<ReplicaModel>(std::uint64_t seed)> make;
};

constexpr Milliseconds runDuration{20'000.0};
constexpr Milliseconds warmUp{2000.0};

double quantileOf(const std::vector<double> &sorted, double quantile)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

Statistics summarise(ModelResults results, Priority priority)
{
    const auto index = static_cast<std::size_t>(priority);
    std::vector<double> &latencies = results.latencies.at(index);
    std::sort(latencies.begin(), latencies.end());
    const auto answered = static_cast<double>(latencies.size());
    const double total = answered + static_cast<double>(results.refused.at(index));
    const double extra = static_cast<double>(results.hedges + results.retries);
    return {
        .p50 = quantileOf(latencies, 0.5),
        .p99 = quantileOf(latencies, 0.99),
        .p999 = quantileOf(latencies, 0.999),
        .extraPercent = 100.0 * extra / static_cast<double>(std::max<std::uint64_t>(results.firstSubrequests, 1)),
        .answeredPercent = total > 0 ? 100.0 * answered / total : 0,
        .answeredPerSecond = answered * 1000.0 / (runDuration - warmUp).count(),
    };
}

void printColumn(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    char text[64];
    std::snprintf(text, sizeof(text), "%.1f (%.1f-%.1f)", values[values.size() / 2], values.front(), values.back());
    std::printf(" %23s", text);
}

void printVariant(const Variant &variant, std::size_t seeds)
{
    std::vector<Statistics> statistics;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        statistics.push_back(summarise(variant.make(seed)->run(), variant.priority));
    }
    std::printf("%-34s %-12s", variant.mechanism.c_str(), variant.setting.c_str());
    for (const auto member : {&Statistics::p50,
                              &Statistics::p99,
                              &Statistics::p999,
                              &Statistics::extraPercent,
                              &Statistics::answeredPercent,
                              &Statistics::answeredPerSecond}) {
        std::vector<double> values;
        values.reserve(statistics.size());
        for (const Statistics &entry : statistics) {
            values.push_back(entry.*member);
        }
        printColumn(std::move(values));
    }
    std::printf("\n");
    std::fflush(stdout);
}

ModelOptions optionsFor(std::uint64_t seed)
{
    ModelOptions options;
    options.seed = seed;
    options.service.name = "search";
    return options;
}

// A service at a fraction of the load that saturates its slots, with a defect on one replica of every group.
std::unique_ptr<ReplicaModel> makeModel(const ModelOptions &options, Defect defect, double loadFraction)
{
    auto model = std::make_unique<ReplicaModel>(options);
    model->setDefect(defect);
    model->addWorkload({.priority = Priority::Standard, .queriesPerSecond = loadFraction * saturatedQueriesPerSecond}, runDuration);
    model->measureFrom(warmUp);
    return model;
}

void addHedging(std::vector<Variant> &variants,
                const std::string &name,
                Defect defect,
                Selection selection,
                bool reconnectAfterCancel = false)
{
    for (const bool on : {true, false}) {
        variants.push_back({name, on ? "on" : "off", Priority::Standard, [=](std::uint64_t seed) {
                                ModelOptions options = optionsFor(seed);
                                options.service.hedge.enabled = on;
                                options.selection = selection;
                                options.reconnectAfterCancel = reconnectAfterCancel;
                                return makeModel(options, defect, 0.3);
                            }});
    }
}

void addReplicaSelection(std::vector<Variant> &variants, const std::string &name, Defect defect, double loadFraction)
{
    for (const Selection selection : {Selection::TwoChoices, Selection::Random}) {
        variants.push_back({name, selection == Selection::Random ? "random" : "two choices", Priority::Standard, [=](std::uint64_t seed) {
                                ModelOptions options = optionsFor(seed);
                                options.service.hedge.enabled = false;
                                options.selection = selection;
                                // Higher than the slots, so that imbalance appears in the servers' queues.
                                options.inFlightLimit = 20;
                                return makeModel(options, defect, loadFraction);
                            }});
    }
}

void addEjection(std::vector<Variant> &variants, const std::string &name, Defect defect)
{
    for (const bool on : {true, false}) {
        variants.push_back({name, on ? "on" : "off", Priority::Standard, [=](std::uint64_t seed) {
                                ModelOptions options = optionsFor(seed);
                                options.ejection.consecutiveFailures = on ? EjectionOptions{}.consecutiveFailures : 1'000'000'000;
                                return makeModel(options, defect, 0.3);
                            }});
    }
}

void addPriorityLimits(std::vector<Variant> &variants, const std::string &name, Priority priority, double bulkServiceTimeFactor)
{
    for (const bool on : {true, false}) {
        variants.push_back({name, on ? "on" : "off", priority, [=](std::uint64_t seed) {
                                ModelOptions options = optionsFor(seed);
                                options.bulkServiceTimeFactor = bulkServiceTimeFactor;
                                if (!on) {
                                    options.service.admission.concurrencyPercent = {100, 100, 100};
                                }
                                auto model = std::make_unique<ReplicaModel>(options);
                                model->addWorkload({.priority = Priority::Urgent, .queriesPerSecond = 0.1 * saturatedQueriesPerSecond},
                                                   runDuration);
                                // As many as the admission limit allows, above the slots available at once.
                                model->addWorkload({.priority = Priority::Bulk, .closedLoopQueries = 40}, runDuration);
                                model->measureFrom(warmUp);
                                return model;
                            }});
    }
}

void addRampUp(std::vector<Variant> &variants, const std::string &name, Defect defect)
{
    constexpr Milliseconds joinTime{15'000.0};
    for (const bool on : {true, false}) {
        variants.push_back({name, on ? "on" : "off", Priority::Standard, [=](std::uint64_t seed) {
                                ModelOptions options = optionsFor(seed);
                                options.service.rampUp = std::chrono::milliseconds(on ? 5000 : 0);
                                std::unique_ptr<ReplicaModel> model = makeModel(options, Defect::None, 0.5);
                                model->addReplicaAt(joinTime, defect);
                                model->measureFrom(joinTime);
                                return model;
                            }});
    }
}

std::vector<Variant> allVariants()
{
    std::vector<Variant> variants;
    addHedging(variants, "hedging, slow replica", Defect::Slow, Selection::TwoChoices);
    addHedging(variants, "hedging, stalling replica", Defect::Stalling, Selection::TwoChoices);
    addHedging(variants, "hedging, stalling, random choice", Defect::Stalling, Selection::Random);
    addHedging(variants, "hedging, stalling, early reconnect", Defect::Stalling, Selection::TwoChoices, true);
    addHedging(variants, "hedging, slow, early reconnect", Defect::Slow, Selection::TwoChoices, true);
    addHedging(variants, "hedging, no straggler", Defect::None, Selection::TwoChoices);
    addReplicaSelection(variants, "choice, equal replicas, load 80%", Defect::None, 0.8);
    addReplicaSelection(variants, "choice, slow replica, load 30%", Defect::Slow, 0.3);
    addEjection(variants, "ejection, silent replica", Defect::Silent);
    addEjection(variants, "ejection, refusing replica", Defect::Refusing);
    addPriorityLimits(variants, "priority share, urgent", Priority::Urgent, 1.0);
    addPriorityLimits(variants, "priority share, bulk", Priority::Bulk, 1.0);
    addPriorityLimits(variants, "priority share, long bulk, urgent", Priority::Urgent, 10.0);
    addPriorityLimits(variants, "priority share, long bulk, bulk", Priority::Bulk, 10.0);
    addRampUp(variants, "ramp-up, cold replica joins", Defect::Cold);
    addRampUp(variants, "ramp-up, loading replica joins", Defect::Loading);
    return variants;
}

int run(int argc, char **argv)
{
    namespace po = boost::program_options;
    std::size_t seeds = 5;
    std::string filter;
    po::options_description description("bench-policy");
    description.add_options()("help", "print this text")("seeds", po::value(&seeds), "seeds per variant, 5 unless given")(
        "filter", po::value(&filter), "only defences whose name contains this; 'cost' for the processor time alone");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.contains("help") || seeds == 0) {
        std::cout << description;
        return 0;
    }
    std::printf("15 groups, 3 replicas, 5 slots, 4 ms service time, 6 ms to connect; median (range) of %zu seeds\n", seeds);
    std::printf("%-34s %-12s %23s %23s %23s %23s %23s %23s\n",
                "defence",
                "setting",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "extra subrequests %",
                "answered %",
                "answered per second");
    for (const Variant &variant : allVariants()) {
        if (variant.mechanism.find(filter) != std::string::npos) {
            printVariant(variant, seeds);
        }
    }
    if (filter.empty() || filter == "cost") {
        printScatterCost(seeds);
    }
    return 0;
}

} // namespace

} // namespace Galenawell::Bench

int main(int argc, char **argv)
{
    return Galenawell::Bench::run(argc, argv);
}

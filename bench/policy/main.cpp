// Measures what each routing defence gains, on and off in the same run, and what a Scatter costs.
#include "replicamodel.h"
#include "scattercost.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <string>

namespace Galenawell::Bench {

namespace {

constexpr double saturatedQueriesPerSecond = 15 / 0.004;

struct Figures
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
    std::string defence;
    std::string setting;
    // The priority whose figures are printed.
    Priority priority = Priority::Standard;
    std::function<std::unique_ptr<ReplicaModel>(std::uint64_t seed)> make;
};

constexpr Milliseconds runTime{20'000.0};
constexpr Milliseconds warmUp{2000.0};

double quantileOf(const std::vector<double> &sorted, double quantile)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

Figures figuresOf(Results results, Priority priority)
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
        .answeredPerSecond = answered * 1000.0 / (runTime - warmUp).count(),
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
    std::vector<Figures> figures;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        figures.push_back(figuresOf(variant.make(seed)->run(), variant.priority));
    }
    std::printf("%-34s %-12s", variant.defence.c_str(), variant.setting.c_str());
    for (const auto member :
         {&Figures::p50, &Figures::p99, &Figures::p999, &Figures::extraPercent, &Figures::answeredPercent, &Figures::answeredPerSecond}) {
        std::vector<double> values;
        values.reserve(figures.size());
        for (const Figures &one : figures) {
            values.push_back(one.*member);
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

// A service at a part of the load that saturates its slots, with a defect on one replica of every group.
std::unique_ptr<ReplicaModel> makeModel(const ModelOptions &options, Defect defect, double loadPart)
{
    auto model = std::make_unique<ReplicaModel>(options);
    model->setDefect(defect);
    model->addLoad({.priority = Priority::Standard, .queriesPerSecond = loadPart * saturatedQueriesPerSecond}, runTime);
    model->countFrom(warmUp);
    return model;
}

void addHedging(std::vector<Variant> &variants, const std::string &name, Defect defect, Selection selection, bool reconnectEarly = false)
{
    for (const bool on : {true, false}) {
        variants.push_back({name, on ? "on" : "off", Priority::Standard, [=](std::uint64_t seed) {
                                ModelOptions options = optionsFor(seed);
                                options.service.hedge.enabled = on;
                                options.selection = selection;
                                options.reconnectEarly = reconnectEarly;
                                return makeModel(options, defect, 0.3);
                            }});
    }
}

void addSelection(std::vector<Variant> &variants, const std::string &name, Defect defect, double loadPart)
{
    for (const Selection selection : {Selection::TwoChoices, Selection::Random}) {
        variants.push_back({name, selection == Selection::Random ? "random" : "two choices", Priority::Standard, [=](std::uint64_t seed) {
                                ModelOptions options = optionsFor(seed);
                                options.service.hedge.enabled = false;
                                options.selection = selection;
                                // Places beyond the slots, so that the server's queue shows the imbalance.
                                options.inFlightLimit = 20;
                                return makeModel(options, defect, loadPart);
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

void addPriorityShare(std::vector<Variant> &variants, const std::string &name, Priority priority, double bulkFactor)
{
    for (const bool on : {true, false}) {
        variants.push_back({name, on ? "on" : "off", priority, [=](std::uint64_t seed) {
                                ModelOptions options = optionsFor(seed);
                                options.bulkFactor = bulkFactor;
                                if (!on) {
                                    options.service.admission.concurrencyPercent = {100, 100, 100};
                                }
                                auto model = std::make_unique<ReplicaModel>(options);
                                model->addLoad({.priority = Priority::Urgent, .queriesPerSecond = 0.1 * saturatedQueriesPerSecond},
                                               runTime);
                                // As many as admission lets run; more than the slots can take at once.
                                model->addLoad({.priority = Priority::Bulk, .concurrent = 40}, runTime);
                                model->countFrom(warmUp);
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
                                model->countFrom(joinTime);
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
    addSelection(variants, "choice, equal replicas, load 80%", Defect::None, 0.8);
    addSelection(variants, "choice, slow replica, load 30%", Defect::Slow, 0.3);
    addEjection(variants, "ejection, silent replica", Defect::Silent);
    addEjection(variants, "ejection, refusing replica", Defect::Refusing);
    addPriorityShare(variants, "priority share, urgent", Priority::Urgent, 1.0);
    addPriorityShare(variants, "priority share, bulk", Priority::Bulk, 1.0);
    addPriorityShare(variants, "priority share, long bulk, urgent", Priority::Urgent, 10.0);
    addPriorityShare(variants, "priority share, long bulk, bulk", Priority::Bulk, 10.0);
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
        if (variant.defence.find(filter) != std::string::npos) {
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

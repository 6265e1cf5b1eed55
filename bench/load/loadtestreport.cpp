#include "loadtestreport.h"

#include "galenawell/core/reasons.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace Galenawell::Load {

namespace {

using CountsByName = std::map<std::string, std::uint64_t>;

std::uint64_t total(const CountsByName &counts)
{
    std::uint64_t sum = 0;
    for (const auto &[name, count] : counts) {
        sum += count;
    }
    return sum;
}

// Nearest-rank percentile in milliseconds; the values are sorted.
double percentile(const std::vector<std::chrono::microseconds> &sorted, double fraction)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    return static_cast<double>(sorted[std::max<std::size_t>(rank, 1) - 1].count()) / 1000;
}

void appendReasons(std::string &text, const std::string &title, const nlohmann::json &reasons)
{
    for (const auto &[name, count] : reasons.items()) {
        text.append("  ").append(title).append(" ").append(name).append(": ");
        text.append(std::to_string(count.get<std::uint64_t>())).append("\n");
    }
}

} // namespace

void LoadTestReport::countSent(Priority priority)
{
    ++this->priorities.at(static_cast<std::size_t>(priority)).sent;
}

void LoadTestReport::countUnsent(Priority priority)
{
    ++this->priorities.at(static_cast<std::size_t>(priority)).unsent;
}

void LoadTestReport::record(Priority priority, const RequestOutcome &outcome, std::chrono::microseconds latency)
{
    Counts &counts = this->priorities.at(static_cast<std::size_t>(priority));
    if (outcome.kind == OutcomeKind::Refused) {
        ++counts.refused[outcome.reason];
    } else if (outcome.kind == OutcomeKind::Failed) {
        ++counts.failed[outcome.reason];
    } else if (outcome.kind == OutcomeKind::Wrong) {
        ++counts.wrong[outcome.reason];
    } else {
        ++(outcome.kind == OutcomeKind::Complete ? counts.complete : counts.partial);
        counts.latencies.push_back(latency);
    }
}

std::uint64_t LoadTestReport::wrong() const
{
    std::uint64_t sum = 0;
    for (const Counts &counts : this->priorities) {
        sum += total(counts.wrong);
    }
    return sum;
}

nlohmann::json LoadTestReport::toJson(const Counts &counts, std::chrono::duration<double> elapsed)
{
    std::vector<std::chrono::microseconds> sorted = counts.latencies;
    std::sort(sorted.begin(), sorted.end());
    return {
        {"sent", counts.sent},
        {"unsent", counts.unsent},
        {"complete", counts.complete},
        {"partial", counts.partial},
        {"refused", counts.refused},
        {"failed", counts.failed},
        {"wrong", counts.wrong},
        {"p50Ms", percentile(sorted, 0.5)},
        {"p99Ms", percentile(sorted, 0.99)},
        {"p99_9Ms", percentile(sorted, 0.999)},
        {"maxMs", percentile(sorted, 1)},
        {"queriesPerSecond", static_cast<double>(sorted.size()) / elapsed.count()},
    };
}

nlohmann::json LoadTestReport::toJson(std::chrono::duration<double> elapsed) const
{
    nlohmann::json described = nlohmann::json::object();
    for (std::size_t index = 0; index < priorityCount; ++index) {
        const std::string name(toString(static_cast<Priority>(index)));
        described[name] = toJson(this->priorities[index], elapsed);
    }
    return {{"seconds", elapsed.count()}, {"priorities", std::move(described)}};
}

std::string LoadTestReport::formatTable(std::chrono::duration<double> elapsed) const
{
    std::array<char, 256> line{};
    std::snprintf(line.data(),
                  line.size(),
                  "%-9s %8s %8s %8s %8s %8s %6s %8s %8s %8s %8s %9s\n",
                  "priority",
                  "sent",
                  "complete",
                  "partial",
                  "refused",
                  "failed",
                  "wrong",
                  "p50 ms",
                  "p99 ms",
                  "p99.9 ms",
                  "max ms",
                  "queries/s");
    std::string text = line.data();
    for (std::size_t index = 0; index < priorityCount; ++index) {
        const Counts &counts = this->priorities[index];
        if (counts.sent + counts.unsent == 0) {
            continue;
        }
        const nlohmann::json described = toJson(counts, elapsed);
        const std::string name(toString(static_cast<Priority>(index)));
        std::snprintf(line.data(),
                      line.size(),
                      "%-9s %8lu %8lu %8lu %8lu %8lu %6lu %8.2f %8.2f %8.2f %8.2f %9.1f\n",
                      name.c_str(),
                      counts.sent,
                      counts.complete,
                      counts.partial,
                      total(counts.refused),
                      total(counts.failed),
                      total(counts.wrong),
                      described["p50Ms"].get<double>(),
                      described["p99Ms"].get<double>(),
                      described["p99_9Ms"].get<double>(),
                      described["maxMs"].get<double>(),
                      described["queriesPerSecond"].get<double>());
        text += line.data();
        appendReasons(text, "refused", described["refused"]);
        appendReasons(text, "failed", described["failed"]);
        appendReasons(text, "wrong", described["wrong"]);
        if (counts.unsent > 0) {
            text += "  unsent: " + std::to_string(counts.unsent) + "\n";
        }
    }
    return text;
}

} // namespace Galenawell::Load

#include "runcounter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Galenawell::StandIn {

namespace {

// Bounds the memory of a long run to a few hundred megabytes.
constexpr std::size_t maximumRequestIds = 1'000'000;

} // namespace

RunCounter::Runs *RunCounter::findOrCreate(const std::string &requestId)
{
    const auto position = this->runs.find(requestId);
    if (position != this->runs.end()) {
        return &position->second;
    }
    if (this->runs.size() >= maximumRequestIds) {
        ++this->uncounted;
        return nullptr;
    }
    return &this->runs[requestId];
}

void RunCounter::started(const std::string &requestId)
{
    if (Runs *entry = this->findOrCreate(requestId)) {
        ++entry->started;
    }
}

void RunCounter::completed(const std::string &requestId)
{
    if (Runs *entry = this->findOrCreate(requestId)) {
        ++entry->completed;
    }
}

void RunCounter::abandoned(const std::string &requestId)
{
    if (Runs *entry = this->findOrCreate(requestId)) {
        ++entry->abandoned;
    }
}

nlohmann::json RunCounter::describe() const
{
    std::uint64_t maximum = 0;
    nlohmann::json entries = nlohmann::json::object();
    for (const auto &[requestId, entry] : this->runs) {
        maximum = std::max(maximum, entry.started);
        entries[requestId] = {{"started", entry.started}, {"completed", entry.completed}, {"abandoned", entry.abandoned}};
    }
    return {{"requests", this->runs.size()}, {"maximum", maximum}, {"uncounted", this->uncounted}, {"runs", std::move(entries)}};
}

} // namespace Galenawell::StandIn

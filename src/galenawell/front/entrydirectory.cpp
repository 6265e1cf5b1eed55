#include "galenawell/front/entrydirectory.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Galenawell {

namespace {

// Callers distribute their connections by weight. Entries in other data centres serve as failover.
constexpr unsigned sameDataCentreWeight = 100;
constexpr unsigned otherDataCentreWeight = 10;

} // namespace

EntryDirectory::EntryDirectory(std::vector<Entry> configuredEntries, std::chrono::milliseconds timeout)
    : entries(std::move(configuredEntries))
    , livenessTimeout(timeout)
{
}

void EntryDirectory::update(const InstanceName &instance, const EntryState &state)
{
    this->states[instance] = state;
}

bool EntryDirectory::alive(const InstanceName &instance, TimePoint now) const
{
    const auto found = this->states.find(instance);
    return found != this->states.end() && now - found->second.lastContact <= this->livenessTimeout;
}

std::size_t EntryDirectory::aliveCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(), [&](const Entry &entry) { return this->alive(entry.instance, now); }));
}

const std::vector<Entry> &EntryDirectory::configured() const
{
    return this->entries;
}

const EntryState *EntryDirectory::stateOf(const InstanceName &instance) const
{
    const auto found = this->states.find(instance);
    return found == this->states.end() ? nullptr : &found->second;
}

std::vector<Entry> EntryDirectory::usable(const std::string &callerDataCentre, TimePoint now) const
{
    std::vector<Entry> result;
    for (const Entry &entry : this->entries) {
        const EntryState *state = this->stateOf(entry.instance);
        if (state == nullptr || state->draining || !state->confirmed || !this->alive(entry.instance, now)) {
            continue;
        }
        Entry usableEntry = entry;
        usableEntry.weight = entry.dataCentre == callerDataCentre ? sameDataCentreWeight : otherDataCentreWeight;
        result.push_back(std::move(usableEntry));
    }
    std::stable_sort(result.begin(), result.end(), [](const Entry &left, const Entry &right) { return left.weight > right.weight; });
    return result;
}

nlohmann::json toJson(const std::vector<Entry> &entries, std::chrono::milliseconds cacheDuration)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Entry &entry : entries) {
        list.push_back(
            {{"instance", entry.instance}, {"dataCentre", entry.dataCentre}, {"address", entry.address}, {"weight", entry.weight}});
    }
    return {{"entries", std::move(list)}, {"keepMs", cacheDuration.count()}};
}

} // namespace Galenawell

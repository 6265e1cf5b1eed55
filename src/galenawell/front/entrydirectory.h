// Lists the entry instances that callers may use, those of the caller's data centre first. Leaves out entries that are
// draining, unconfirmed or silent for longer than the liveness timeout.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <chrono>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Galenawell {

struct Entry
{
    InstanceName instance;
    std::string dataCentre;
    // "IP:port" of the listener for callers.
    std::string address;
    unsigned weight = 0;
};

struct EntryState
{
    bool draining = false;
    bool confirmed = false;
    TimePoint lastContact;
};

class EntryDirectory
{
public:
    // `configured` has every front of the settings; its weights are ignored.
    EntryDirectory(std::vector<Entry> configured, std::chrono::milliseconds livenessTimeout);

    void update(const InstanceName &instance, const EntryState &state);
    std::vector<Entry> usable(const std::string &callerDataCentre, TimePoint now) const;
    bool alive(const InstanceName &instance, TimePoint now) const;
    std::size_t aliveCount(TimePoint now) const;
    const std::vector<Entry> &configured() const;
    const EntryState *stateOf(const InstanceName &instance) const;

private:
    std::vector<Entry> entries;
    std::chrono::milliseconds livenessTimeout;
    std::map<InstanceName, EntryState> states;
};

nlohmann::json toJson(const std::vector<Entry> &entries, std::chrono::milliseconds cacheDuration);

} // namespace Galenawell

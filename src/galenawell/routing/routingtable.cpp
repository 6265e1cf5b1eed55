#include "galenawell/routing/routingtable.h"

#include <algorithm>

namespace Galenawell {

const ServiceTable *RoutingTable::findService(const std::string &name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

std::uint32_t connectionShare(std::uint32_t limit, std::size_t liveFronts)
{
    const std::size_t share = limit / (liveFronts + 1);
    return static_cast<std::uint32_t>(std::max<std::size_t>(share, 1));
}

LiveFrontCount::LiveFrontCount(std::chrono::milliseconds requiredStability)
    : stabilityPeriod(requiredStability)
{
}

std::size_t LiveFrontCount::update(std::size_t observed, TimePoint now)
{
    if (observed >= this->effective) {
        this->effective = observed;
        this->candidate = observed;
        return this->effective;
    }
    if (observed != this->candidate) {
        this->candidate = observed;
        this->candidateSince = now;
    }
    if (now - this->candidateSince >= this->stabilityPeriod) {
        this->effective = std::max<std::size_t>(observed, 1);
    }
    return this->effective;
}

} // namespace Galenawell

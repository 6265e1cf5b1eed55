#include "galenawell/registry/retiredservers.h"

#include <algorithm>

namespace Galenawell {

RetiredServers::RetiredServers(std::chrono::milliseconds retentionTime)
    : retention(retentionTime)
{
}

void RetiredServers::add(const std::string &identity, Incarnation incarnation, TimePoint now)
{
    Retired &known = this->servers[identity];
    known.incarnation = std::max(known.incarnation, incarnation);
    known.retainedUntil = now + this->retention;
}

bool RetiredServers::contains(const std::string &identity, Incarnation incarnation, TimePoint now) const
{
    const auto known = this->servers.find(identity);
    return known != this->servers.end() && now < known->second.retainedUntil && incarnation <= known->second.incarnation;
}

void RetiredServers::expire(TimePoint now)
{
    std::erase_if(this->servers, [now](const auto &entry) { return now >= entry.second.retainedUntil; });
}

} // namespace Galenawell

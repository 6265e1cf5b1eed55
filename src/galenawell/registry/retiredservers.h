// Backend servers that announced their shutdown. Later announcements of the same incarnation, delayed or still being sent,
// must not register them again; those of a higher incarnation may.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <chrono>
#include <map>
#include <string>

namespace Galenawell {

class RetiredServers
{
public:
    // The retention must exceed the time for which a retired server may go on announcing itself.
    explicit RetiredServers(std::chrono::milliseconds retention = std::chrono::seconds(60));

    void add(const std::string &identity, Incarnation incarnation, TimePoint now);
    // True for the retired incarnation and lower ones.
    bool contains(const std::string &identity, Incarnation incarnation, TimePoint now) const;
    void expire(TimePoint now);

private:
    struct Retired
    {
        Incarnation incarnation = 0;
        TimePoint retainedUntil;
    };

    std::chrono::milliseconds retention;
    std::map<std::string, Retired> servers;
};

} // namespace Galenawell

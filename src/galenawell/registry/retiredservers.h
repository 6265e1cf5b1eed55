// Runs of backend servers that said that they end. Their announcements may still be under way, or even go on, and must not
// bring them back; a later run of the same server is another matter.
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
    // Longer than a server that has left may go on announcing itself.
    explicit RetiredServers(std::chrono::milliseconds rememberFor = std::chrono::seconds(60));

    void add(const std::string &identity, Incarnation incarnation, TimePoint now);
    // True for this run of the server and earlier ones.
    bool contains(const std::string &identity, Incarnation incarnation, TimePoint now) const;
    void expire(TimePoint now);

private:
    struct Retired
    {
        Incarnation incarnation = 0;
        TimePoint until;
    };

    std::chrono::milliseconds rememberFor;
    std::map<std::string, Retired> servers;
};

} // namespace Galenawell

// The log line of a backend server's limit on the requests of all fronts together.
#pragma once

#include "galenawell/routing/requestlimit.h"
#include "galenawell/telemetry/eventlog.h"

namespace Galenawell {

inline Event limitEvent(const LimitStatement &statement)
{
    Event event("server_limit");
    event.text("server", statement.server.address)
        .flag("limited", statement.limit.rate.has_value())
        .number("order", static_cast<std::int64_t>(statement.limit.order));
    if (statement.limit.rate) {
        event.real("per_second", statement.limit.rate->perSecond());
    }
    return event;
}

} // namespace Galenawell

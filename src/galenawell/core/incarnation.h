// The number of a run of this process, from the wall clock. A clock that was set back makes it too low; then others say so
// and the process takes a higher one.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

namespace Galenawell {

inline Incarnation newIncarnation()
{
    return static_cast<Incarnation>(wallNow().time_since_epoch().count());
}

} // namespace Galenawell

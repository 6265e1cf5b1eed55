// Derives the incarnation of this run from the wall clock. If the clock was set back it is too low; peers then report the
// incarnation that they store, and the process chooses a higher one.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

namespace Galenawell {

inline Incarnation newIncarnation()
{
    return static_cast<Incarnation>(wallNow().time_since_epoch().count());
}

} // namespace Galenawell

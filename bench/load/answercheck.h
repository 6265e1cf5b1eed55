// Checks that a reply of a front fits the request and is consistent.
#pragma once

#include "loadoptions.h"
#include "loadtestreport.h"

#include <string>

namespace Galenawell::Load {

RequestOutcome checkReply(const LoadOptions &options, const std::string &requestId, unsigned status, const std::string &body);

} // namespace Galenawell::Load

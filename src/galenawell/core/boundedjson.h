// Reads JSON documents of other parties within bounds of depth and memory: a document may take 75 times its text once it is parsed.
#pragma once

#include "galenawell/core/error.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace Galenawell {

struct JsonLimits
{
    std::size_t maximumDepth = 32;
    // Estimate for the parsed document.
    std::size_t maximumBytes = std::size_t(8) * 1024 * 1024;
};

// Fails with MalformedJson. Beyond a limit, nothing of the document has been built.
Result<nlohmann::json> parseBoundedJson(const std::string &text, const JsonLimits &limits = {});

// A discarded value in place of an error, as the library gives without exceptions.
nlohmann::json parseBoundedJsonOrDiscard(const std::string &text);

} // namespace Galenawell

// A folder of JSON files with comments, merged in the order of their names (RFC 7396).
#pragma once

#include "galenawell/core/error.h"

#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace Galenawell {

// Size limit of one file, against a misplaced one such as a log. A list of 16,384 peers has 2.4 MB.
inline constexpr std::size_t maximumSettingsFileBytes = std::size_t{8} * 1024 * 1024;

struct MergedFolder
{
    std::filesystem::path folder;
    nlohmann::json document;
    // The file that last set each JSON pointer, for messages.
    std::map<std::string, std::string> origins;

    // The file that last set the pointer or, where none did, its nearest ancestor; the folder for the root.
    std::string originOf(std::string pointer) const;
};

// Reads every *.json file of the folder except hidden ones. Errors name the file and, for malformed JSON, the line.
Result<MergedFolder> readSettingsFolder(const std::filesystem::path &folder);

// The pointer of a member below the given pointer, escaped as RFC 6901 requires.
std::string childPointer(const std::string &pointer, const std::string &key);

} // namespace Galenawell

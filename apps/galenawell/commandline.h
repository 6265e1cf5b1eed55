// Command-line parsing and dispatch.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace Galenawell {

// Runs one command and returns the exit code of the process.
int runCommandLine(const std::vector<std::string> &words, std::ostream &out, std::ostream &err);

} // namespace Galenawell

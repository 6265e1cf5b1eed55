// Records which cells of the fault matrix a test covered. docs/FAULTS.md is generated from these records.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <string>

namespace Galenawell::Testing {

// Call after the assertions of the cell have passed. `cases` counts the schedules or seeds that were run.
inline void recordFaultCell(const std::string &module, const std::string &fault, const std::string &step, unsigned cases)
{
    const std::string line = "fault-cell|" + module + "|" + fault + "|" + step + "|" + std::to_string(cases) + "\n";
    std::fputs(line.c_str(), stdout);
    const char *path = std::getenv("GALENAWELL_FAULT_LOG");
    if (path == nullptr) {
        return;
    }
    // Append mode keeps lines intact while several test processes write.
    std::FILE *file = std::fopen(path, "a");
    if (file == nullptr) {
        return;
    }
    std::fputs(line.c_str(), file);
    std::fclose(file);
}

} // namespace Galenawell::Testing

#include "measurement.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <malloc.h>

namespace Galenawell::Bench {

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

std::size_t heapBytes()
{
    const auto usage = mallinfo2();
    return usage.uordblks + usage.hblkhd;
}

double processorTimeOf(const std::function<void()> &work)
{
    const double before = processorSeconds();
    work();
    return processorSeconds() - before;
}

void MeasurementTable::add(const std::string &measure, const std::string &unit, std::size_t size, double value)
{
    const auto existing
        = std::ranges::find_if(this->rows, [&measure, size](const Row &row) { return row.measure == measure && row.size == size; });
    if (existing != this->rows.end()) {
        existing->values.push_back(value);
        return;
    }
    this->rows.push_back({.measure = measure, .unit = unit, .size = size, .values = {value}});
}

void MeasurementTable::print() const
{
    std::printf("| measure | size | median | lowest | highest | unit |\n|---|---|---|---|---|---|\n");
    for (const Row &row : this->rows) {
        std::vector<double> sorted = row.values;
        std::ranges::sort(sorted);
        std::printf("| %s | %zu | %.4g | %.4g | %.4g | %s |\n",
                    row.measure.c_str(),
                    row.size,
                    sorted[sorted.size() / 2],
                    sorted.front(),
                    sorted.back(),
                    row.unit.c_str());
    }
}

} // namespace Galenawell::Bench

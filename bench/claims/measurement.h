// Repeated measurements of processor time and heap memory, printed as a Markdown table.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Galenawell::Bench {

// Processor time of this process; other load on the machine affects it less than wall-clock time.
double processorSeconds();

// Bytes in use on the heap.
std::size_t heapBytes();

// Processor time of one call in seconds.
double processorTimeOf(const std::function<void()> &work);

class MeasurementTable
{
public:
    // Adds the value of one run to the row of this measure and size.
    void add(const std::string &measure, const std::string &unit, std::size_t size, double value);

    // Prints the median, minimum and maximum of each row.
    void print() const;

private:
    struct Row
    {
        std::string measure;
        std::string unit;
        std::size_t size = 0;
        std::vector<double> values;
    };

    // In order of first use.
    std::vector<Row> rows;
};

} // namespace Galenawell::Bench

// Processor time of Scatter per subrequest, by number of groups.
#pragma once

#include <cstddef>

namespace Galenawell::Bench {

// Prints the median and range over the repetitions, and the slope over the number of groups.
void printScatterCost(std::size_t repetitions);

} // namespace Galenawell::Bench

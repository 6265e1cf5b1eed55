// The connections that have carried one request, shared by all exchanges of the request. Used on one strand.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace Galenawell {

class ConnectionHistory
{
public:
    void add(std::uint64_t connectionNumber)
    {
        this->numbers.push_back(connectionNumber);
    }

    bool contains(std::uint64_t connectionNumber) const
    {
        return std::ranges::find(this->numbers, connectionNumber) != this->numbers.end();
    }

private:
    // Few: a request is sent a bounded number of times.
    std::vector<std::uint64_t> numbers;
};

} // namespace Galenawell

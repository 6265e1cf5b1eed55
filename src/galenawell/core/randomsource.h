// Seedable random numbers, passed as an argument so that tests can replay decisions.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstddef>
#include <cstdint>

namespace Galenawell {

class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed)
        : engine(seed)
    {
    }

    // Uniform in [0, bound). The bound must be positive.
    std::size_t below(std::size_t bound)
    {
        return boost::random::uniform_int_distribution<std::size_t>(0, bound - 1)(this->engine);
    }

    std::uint64_t next()
    {
        return this->engine();
    }

private:
    boost::random::mt19937_64 engine;
};

} // namespace Galenawell

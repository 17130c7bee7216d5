#pragma once

#include <cstdint>
#include <random>

namespace base {

/** Seeded pseudo-random generator; the same seed gives the same sequence. */
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    {}

    /** Uniform integer in [0, bound). Precondition: bound > 0. */
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
    }

    /** Uniform real in [0, 1). */
    double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

private:
    std::mt19937_64 engine_;
};

} // namespace base

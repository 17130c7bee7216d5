#pragma once

#include <algorithm>
#include <cstddef>

#include <base/Millis.h>

namespace membership::details {

/** Token bucket for sent bytes; spending may take it below zero. */
class ByteBudget
{
public:
    ByteBudget(std::size_t bytesPerSecond, std::size_t burstBytes)
        : bytesPerSecond_(static_cast<double>(bytesPerSecond))
        , burstBytes_(static_cast<double>(burstBytes))
        , availableBytes_(burstBytes_)
    {}

    void refill(base::Millis elapsed)
    {
        constexpr double millisPerSecond = 1000.0;
        availableBytes_ = std::min(
                burstBytes_,
                availableBytes_ + bytesPerSecond_ * elapsed.fractional() / millisPerSecond);
    }

    void spend(std::size_t bytes) { availableBytes_ -= static_cast<double>(bytes); }
    bool isSpent() const { return availableBytes_ <= 0; }

private:
    double bytesPerSecond_;
    double burstBytes_;
    double availableBytes_;
};

} // namespace membership::details

#pragma once

#include <algorithm>
#include <cstddef>

#include <base/Millis.h>

namespace membership::details {

/** Bounds the bytes sent for a rate and a burst. */
class ByteBudget
{
public:
    ByteBudget(std::size_t bytesPerSecond, std::size_t burst)
        : bytesPerSecond_(static_cast<double>(bytesPerSecond))
        , burst_(static_cast<double>(burst))
        , left_(burst_)
    {}

    void refill(base::Millis elapsed)
    {
        constexpr double millisPerSecond = 1000.0;
        left_ = std::min(burst_, left_ + bytesPerSecond_ * elapsed.fractional() / millisPerSecond);
    }

    void spend(std::size_t bytes) { left_ -= static_cast<double>(bytes); }
    bool isSpent() const { return left_ <= 0; }

private:
    double bytesPerSecond_;
    double burst_;
    double left_;
};

} // namespace membership::details

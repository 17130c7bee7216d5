#pragma once

#include <compare>
#include <cstdint>

namespace base {

/**
 * Duration, or time point of the monotonic clock, in milliseconds.
 *
 * Stored in microseconds, so that latencies below a millisecond can be measured.
 * Immutable; safe to use from any thread.
 */
class Millis
{
public:
    constexpr Millis() = default;

    /** Whole milliseconds. */
    constexpr explicit Millis(std::int64_t milliseconds)
        : micros_(milliseconds * microsPerMilli)
    {}

    /** From a count of microseconds. */
    static constexpr Millis fromMicros(std::int64_t micros)
    {
        Millis result;
        result.micros_ = micros;
        return result;
    }

    /** Largest value in use; stands for "never". Leaves headroom for additions. */
    static constexpr Millis max() { return fromMicros(INT64_MAX / 4); }

    /** Whole milliseconds, rounded towards zero. */
    constexpr std::int64_t count() const { return micros_ / microsPerMilli; }

    constexpr std::int64_t micros() const { return micros_; }

    /** Milliseconds including the fraction. */
    constexpr double fractional() const { return static_cast<double>(micros_) / microsPerMilli; }

    constexpr auto operator<=>(const Millis &) const = default;

    friend constexpr Millis operator+(Millis a, Millis b)
    {
        return fromMicros(a.micros_ + b.micros_);
    }
    friend constexpr Millis operator-(Millis a, Millis b)
    {
        return fromMicros(a.micros_ - b.micros_);
    }
    friend constexpr Millis operator*(Millis a, std::int64_t n)
    {
        return fromMicros(a.micros_ * n);
    }
    friend constexpr Millis operator/(Millis a, std::int64_t n)
    {
        return fromMicros(a.micros_ / n);
    }

private:
    static constexpr std::int64_t microsPerMilli = 1000;
    std::int64_t micros_ = 0;
};

} // namespace base

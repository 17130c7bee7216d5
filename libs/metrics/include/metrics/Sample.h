#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace metrics {

/** Outcome reported to the caller. */
enum class Outcome : std::uint8_t { Complete, NotRun, Unknown };

constexpr std::size_t outcomeCount = 3;

/** One finished request, measured by the daemon that responded to the caller. */
struct Sample
{
    std::string customer_; ///< empty if the caller gave none
    std::string requestClass_;
    Outcome outcome_ = Outcome::Complete;
    std::string failure_;        ///< outcome and reason, such as "not-run/overloaded"
    base::Millis latency_;       ///< from arrival to the end of the response
    base::Millis queueing_;      ///< part of latency_ spent waiting for a slot
    std::uint32_t attempts_ = 1; ///< calls sent to instances; 0: rejected on arrival

    bool operator==(const Sample &) const = default;
};

} // namespace metrics

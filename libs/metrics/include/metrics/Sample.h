#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace metrics {

/** Outcome stated to the caller. */
enum class Outcome : std::uint8_t { Complete, NotRun, Unknown };

constexpr std::size_t outcomeCount = 3;

/** One finished request as seen by the daemon that answered its caller. */
struct Sample
{
    std::string customer_; ///< empty when the caller stated none
    std::string requestClass_;
    Outcome outcome_ = Outcome::Complete;
    base::Millis latency_;       ///< from arrival to the whole answer
    base::Millis queueing_;      ///< part of it spent waiting for a slot
    std::uint32_t attempts_ = 1; ///< sent to instances for this request; 0: refused at once

    bool operator==(const Sample &) const = default;
};

} // namespace metrics

#pragma once

#include <cstddef>
#include <cstdint>

#include <base/Millis.h>

namespace once {

/** Limits of a Home. */
struct HomeSettings
{
    base::Millis keyLifetime_ = base::Millis(300'000);
    std::size_t maxRecords_ = 65'536;
    std::size_t maxAnswerBytes_ = 32 * 1024 * 1024;    ///< total of the retained answers
    std::size_t maxOneAnswerBytes_ = 1024 * 1024;      ///< a larger answer is not retained
    base::Millis minAnswerAge_ = base::Millis(30'000); ///< minimum retention of outcomes
    std::size_t maxWaitersPerKey_ = 16;
    std::uint64_t serialWindow_ = 1 << 22;          ///< issued keys whose use is tracked
    base::Millis queryInterval_ = base::Millis(50); ///< initial; doubles with each attempt
    base::Millis maxQueryInterval_ = base::Millis(2'000);
    base::Millis queryTimeout_ = base::Millis(30'000); ///< after this, the outcome is Unknown
    base::Millis retryAfter_ = base::Millis(1'000);    ///< sent with a NoRoom refusal

    bool operator==(const HomeSettings &) const = default;
};

} // namespace once

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
    std::size_t maxAnswerBytes_ = 32 * 1024 * 1024;    ///< kept answers together
    std::size_t maxOneAnswerBytes_ = 1024 * 1024;      ///< a larger answer is not kept
    base::Millis minAnswerAge_ = base::Millis(30'000); ///< outcomes are kept at least as long
    std::size_t maxWaitersPerKey_ = 16;
    std::uint64_t serialWindow_ = 1 << 22;        ///< issued keys that are told apart
    base::Millis askInterval_ = base::Millis(50); ///< first; doubles with each attempt
    base::Millis maxAskInterval_ = base::Millis(2'000);
    base::Millis askFor_ = base::Millis(30'000);    ///< then the outcome is unknown
    base::Millis retryAfter_ = base::Millis(1'000); ///< told when there is no room

    bool operator==(const HomeSettings &) const = default;
};

} // namespace once

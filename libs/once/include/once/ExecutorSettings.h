#pragma once

#include <cstddef>

#include <base/Millis.h>

namespace once {

/** Limits of an Executor. */
struct ExecutorSettings
{
    std::size_t maxRecords_ = 16'384;               ///< running and finished
    std::size_t maxRefused_ = 32'768;               ///< refused and remembered as such
    std::size_t maxAnswerBytes_ = 16 * 1024 * 1024; ///< kept answers together
    std::size_t maxHomes_ = 65'536;                 ///< daemons that ever delegated to this process
    base::Millis keepFinished_ = base::Millis(60'000);
    base::Millis keepRefused_ = base::Millis(10'000);
    base::Millis retryAfter_ = base::Millis(1'000); ///< told when there is no room

    bool operator==(const ExecutorSettings &) const = default;
};

} // namespace once

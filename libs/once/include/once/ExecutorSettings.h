#pragma once

#include <cstddef>

#include <base/Millis.h>

namespace once {

/** Limits of an Executor. */
struct ExecutorSettings
{
    std::size_t maxRecords_ = 16'384;               ///< running and finished requests
    std::size_t maxRefused_ = 32'768;               ///< records of refused requests
    std::size_t maxAnswerBytes_ = 16 * 1024 * 1024; ///< total of the retained answers
    std::size_t maxHomes_ = 65'536;                 ///< daemons that ever delegated to this process
    base::Millis finishedRetention_ = base::Millis(60'000);
    base::Millis refusedRetention_ = base::Millis(10'000);
    base::Millis retryAfter_ = base::Millis(1'000); ///< sent with a NoRoom refusal

    bool operator==(const ExecutorSettings &) const = default;
};

} // namespace once

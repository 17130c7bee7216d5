#pragma once

#include <model/RetryTolerance.h>

namespace configcheck {

/** A retry tolerance as written. */
struct RetryEntry
{
    model::RetryTolerance tolerance_;
    bool callsBelowOnly_ = false; ///< only calls of the request may be retried, not the request

    bool operator==(const RetryEntry &) const = default;
};

} // namespace configcheck

#pragma once

#include <model/RetryTolerance.h>

namespace note {

/** A retry tolerance as written in a release note. */
struct RetryRule
{
    model::RetryTolerance tolerance_;
    bool callsBelowOnly_ = false; ///< only calls that the request causes may be retried, not itself

    bool operator==(const RetryRule &) const = default;
};

} // namespace note

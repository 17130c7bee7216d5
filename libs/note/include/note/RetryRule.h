#pragma once

#include <model/RetryTolerance.h>

namespace note {

/** A retry tolerance as written in a release note. */
struct RetryRule
{
    model::RetryTolerance tolerance_;
    bool callsBelowOnly_ = false; ///< only downstream calls may be retried, not the request itself

    bool operator==(const RetryRule &) const = default;
};

} // namespace note

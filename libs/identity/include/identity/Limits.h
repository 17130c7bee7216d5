#pragma once

#include <base/Millis.h>

namespace identity {

/** Ages of the evidence that the configuration in force is the newest; max() is no limit. */
struct Limits
{
    /** From this age on, requests with a key are not served, as the key may be withdrawn. */
    base::Millis keyedAge_ = base::Millis::max();

    /** From this age on, what the configuration does not know may exist in a newer one. */
    base::Millis unknownAge_ = base::Millis::max();

    /**
     * Limits that keep the revocation time; it is unbounded if it is 0. A tenth of it is a margin
     * for clocks that run at different rates and for ages that are rounded between daemons.
     */
    static Limits of(base::Millis revocationTime, base::Millis unknownAge);

    bool operator==(const Limits &) const = default;
};

} // namespace identity

#pragma once

#include <base/Millis.h>

namespace settings {

/** How strictly access keys and allowances of customers are enforced. */
struct CustomerSettings
{
    /**
     * Time from the acknowledgement of a configuration that withdraws a key to the last request
     * with that key that may run, at any daemon; 0: no bound for daemons out of touch.
     */
    base::Millis revocationTime_;

    /** Length of the windows in which an allowance is kept. */
    base::Millis allowanceWindow_ = base::Millis(5000);

    /** Tolerated excess in each window, as a fraction of the allowance. */
    double allowanceOverrun_ = 0.1;

    /** Tolerated excess in each window, in requests, besides that fraction. */
    double allowanceSlack_ = 0;

    bool operator==(const CustomerSettings &) const = default;
};

} // namespace settings

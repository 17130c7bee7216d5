#pragma once

#include <base/Millis.h>

namespace allowance {

/** The bound that is kept, and the times of the protocol; equal at all daemons. */
struct Settings
{
    base::Millis window_ = base::Millis(5000); ///< length of the windows in which bounds hold
    double overrun_ = 0.1;                     ///< tolerated excess as a fraction of an allowance
    double slack_ = 0;                         ///< tolerated excess in requests, besides

    base::Millis lease_ = base::Millis(2500);         ///< of the authority of an allotter
    base::Millis renewInterval_ = base::Millis(1000); ///< of that authority
    base::Millis margin_ = base::Millis(200);         ///< for drift of clocks; over grantAge_
    base::Millis appendRetryDelay_ = base::Millis(200);
    base::Millis claimFor_ = base::Millis(5000); ///< how long one ask keeps a daemon claiming

    base::Millis partValidity_ = base::Millis(4500); ///< covers lease_ and a claim
    base::Millis grantAge_ = base::Millis(150);      ///< of tokens for held requests, from the ask
    base::Millis askInterval_ = base::Millis(400);   ///< of a daemon that holds a part
    base::Millis maxAskInterval_ = base::Millis(1200); ///< where very many daemons hold parts
    base::Millis minAskInterval_ = base::Millis(20);
    base::Millis askTimeout_ = base::Millis(200);
    base::Millis maxHold_ = base::Millis(150); ///< of a request without a token

    bool operator==(const Settings &) const = default;
};

} // namespace allowance

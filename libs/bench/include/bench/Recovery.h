#pragma once

#include <vector>

#include <base/Millis.h>
#include <bench/FinishedRequest.h>

namespace bench {

/**
 * Time from the end of a surge until the completion ratio has recovered for good.
 *
 * Requests are grouped by arrival into windows of 500 ms over [from, to). Returns the time from the
 * start of the interval to the end of the last window in which fewer than 95% of the requests
 * completed; 0 if there is none.
 */
base::Millis recoveryTime(const std::vector<FinishedRequest> &requests, base::Millis from,
                          base::Millis to);

} // namespace bench

#pragma once

#include <vector>

#include <base/Millis.h>
#include <bench/FinishedRequest.h>

namespace bench {

/**
 * Time from the end of a surge until requests complete as usual and go on doing so.
 *
 * The interval [from, to) is split into windows of 500 ms by arrival. The result is the end of the
 * last window of which fewer than 95% completed, since from; 0 when there is none.
 */
base::Millis recoveryTime(const std::vector<FinishedRequest> &requests, base::Millis from,
                          base::Millis to);

} // namespace bench

#pragma once

#include <iosfwd>
#include <vector>

#include <bench/FinishedRequest.h>
#include <bench/RequestMix.h>
#include <bench/Tally.h>
#include <nlohmann/json_fwd.hpp>

namespace bench {

/** Prints counts, goodput and latency, a line per class. */
void printTallies(std::ostream &out, const RequestMix &mix, const std::vector<Tally> &tallies,
                  base::Millis duration);

/** Counts, goodput and latency as JSON, by class name. */
nlohmann::json talliesJson(const RequestMix &mix, const std::vector<Tally> &tallies,
                           base::Millis duration);

/** Tallies, by class index, of the requests that arrived in [from, to). */
std::vector<Tally> talliesOf(const RequestMix &mix, const std::vector<FinishedRequest> &requests,
                             base::Millis from, base::Millis to);

} // namespace bench

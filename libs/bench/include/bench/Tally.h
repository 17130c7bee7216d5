#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <base/Millis.h>
#include <bench/FinishedRequest.h>

namespace bench {

/** Outcome counts and latency of the finished requests of one class. */
struct Tally
{
    std::uint64_t sent_ = 0;
    std::uint64_t complete_ = 0;
    std::uint64_t late_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t notRun_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t wrong_ = 0;
    std::uint64_t attempts_ = 0;
    double p50Ms_ = 0.0; ///< latency of complete requests since arrival
    double p99Ms_ = 0.0;

    /** Attempts after the first of each request. */
    std::uint64_t retries() const { return attempts_ - sent_; }

    /** Statistics of the requests of a class that arrived in [from, to). */
    static Tally of(const std::vector<FinishedRequest> &requests, std::size_t classIndex,
                    base::Millis from, base::Millis to);

    bool operator==(const Tally &) const = default;
};

} // namespace bench

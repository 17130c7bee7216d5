#pragma once

#include <cstdint>

#include <base/Millis.h>

namespace balance {

/**
 * Measures how long requests hold the slots of the local backend server, from complete answers
 * only: a server that fails at once is not fast.
 *
 * The server's own figure of the speed of its machine is used relative to its average, as it is
 * newer than the service times of requests that have ended.
 */
class HoldingTime
{
public:
    /** Records a request that the server answered completely. */
    void recordCompletion(base::Millis serviceTime);

    /** Records how long work takes on the server's machine now; 1: as usual. */
    void recordSlowness(double slowness);

    /** Forgets everything, as another backend server has started. */
    void reset() { *this = {}; }

    /** Expected time for which a request holds a slot; 0 before the first completion. */
    base::Millis mean() const;

private:
    double meanMs_ = 0.0;
    std::uint64_t completions_ = 0;
    double slownessNow_ = 0.0; ///< 0: no figure received
    double slownessUsual_ = 0.0;
};

} // namespace balance

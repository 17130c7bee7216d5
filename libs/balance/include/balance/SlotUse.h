#pragma once

#include <cstdint>

namespace balance {

/** What became of a request when it arrived at a backend server's daemon. */
enum class Arrival : std::uint8_t {
    Started,
    Queued,
    Refused,    ///< as the server is full
    HandedBack, ///< unsent, for another instance
};

/** Counts of an interval, and the fewest slots that were free at any moment of it. */
struct SlotSample
{
    std::uint32_t started_ = 0; ///< at once
    std::uint32_t queued_ = 0;
    std::uint32_t refused_ = 0;
    std::uint32_t handedBack_ = 0;
    std::uint32_t freeSlots_ = 0;

    bool operator==(const SlotSample &) const = default;
};

/**
 * Counts the arrivals at one backend server and its free slots, exactly, as only its daemon sends
 * to it. The samples of all daemons show whether requests waited while others had free slots.
 */
class SlotUse
{
public:
    /** freeSlots: after the arrival. */
    void record(Arrival arrival, std::uint32_t freeSlots);

    /** Ends the interval and begins the next one. */
    SlotSample take(std::uint32_t freeSlots);

private:
    SlotSample sample_;
};

} // namespace balance

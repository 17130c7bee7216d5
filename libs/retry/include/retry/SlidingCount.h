#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace retry {

/**
 * Events of the last 20 s in slots of 100 ms. The caller closes the slots, so that several counts
 * share one clock.
 */
class SlidingCount
{
public:
    /** Slots in a window of 10 s, the length over which the platform counts. */
    static constexpr std::size_t slotsPerWindow = 100;

    /** Counts events in the current slot. */
    void add(std::uint32_t events = 1);

    /** Begins a new slot. */
    void closeSlot();

    /** Events in the current slot. */
    std::uint32_t current() const { return slots_[currentSlot_]; }

    /** Events in the window that ends with the current slot. */
    std::uint64_t inWindow() const { return inWindow_; }

    /** Events in the window before that one. */
    std::uint64_t inWindowBefore() const { return inWindowBefore_; }

    /** Whether counting began before both windows. */
    bool coversBothWindows() const { return closedSlots_ == slotCount; }

private:
    static constexpr std::size_t slotCount = 2 * slotsPerWindow;

    /** Position of the slot that began that many slots before the current one. */
    std::size_t slotBefore(std::size_t slots) const
    {
        return (currentSlot_ + slotCount - slots) % slotCount;
    }

    std::array<std::uint32_t, slotCount> slots_ = {};
    std::size_t currentSlot_ = 0;
    std::size_t closedSlots_ = 0; ///< at most slotCount
    std::uint64_t inWindow_ = 0;
    std::uint64_t inWindowBefore_ = 0;
};

} // namespace retry

#include <retry/SlidingCount.h>

#include <algorithm>

namespace retry {

namespace {

constexpr std::size_t halfWindow = SlidingCount::slotsPerWindow / 2;

} // namespace

void SlidingCount::add(std::uint32_t events)
{
    slots_[currentSlot_] += events;
    inWindow_ += events;
}

void SlidingCount::closeSlot()
{
    // Slots that leave one window enter the next one.
    inHalfShiftedWindow_ += slots_[slotBefore(halfWindow - 1)];
    inHalfShiftedWindow_ -= slots_[slotBefore(halfWindow + slotsPerWindow - 1)];
    inWindowBefore_ += slots_[slotBefore(slotsPerWindow - 1)];
    inWindowBefore_ -= slots_[slotBefore(2 * slotsPerWindow - 1)];
    inWindow_ -= slots_[slotBefore(slotsPerWindow - 1)];
    currentSlot_ = (currentSlot_ + 1) % slotCount;
    slots_[currentSlot_] = 0;
}

std::uint64_t SlidingCount::highestWindow() const
{
    return std::max({inWindow_, inHalfShiftedWindow_, inWindowBefore_});
}

} // namespace retry

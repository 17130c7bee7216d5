#include <retry/SlidingCount.h>

namespace retry {

void SlidingCount::add(std::uint32_t events)
{
    slots_[currentSlot_] += events;
    inWindow_ += events;
}

void SlidingCount::closeSlot()
{
    // The oldest slot of each window leaves it; that of the later window enters the earlier one.
    const auto leaving = slots_[slotBefore(slotsPerWindow - 1)];
    inWindowBefore_ += leaving;
    inWindowBefore_ -= slots_[slotBefore(2 * slotsPerWindow - 1)];
    inWindow_ -= leaving;
    currentSlot_ = (currentSlot_ + 1) % slotCount;
    if (closedSlots_ < slotCount)
        ++closedSlots_;
    slots_[currentSlot_] = 0;
}

} // namespace retry

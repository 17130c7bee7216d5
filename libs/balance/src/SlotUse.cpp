#include <balance/SlotUse.h>

#include <algorithm>
#include <utility>

namespace balance {

void SlotUse::record(Arrival arrival, std::uint32_t freeSlots)
{
    sample_.freeSlots_ = std::min(sample_.freeSlots_, freeSlots);
    switch (arrival) {
    case Arrival::Started:
        ++sample_.started_;
        break;
    case Arrival::Queued:
        ++sample_.queued_;
        break;
    case Arrival::Refused:
        ++sample_.refused_;
        break;
    case Arrival::HandedBack:
        ++sample_.handedBack_;
        break;
    }
}

SlotSample SlotUse::take(std::uint32_t freeSlots)
{
    sample_.freeSlots_ = std::min(sample_.freeSlots_, freeSlots);
    return std::exchange(sample_, {.freeSlots_ = freeSlots});
}

} // namespace balance

#include <details/SpareSlots.h>

namespace admission::details {

namespace {

/** Part of the slots that is used while some stay free: servers slow down from 95 % on. */
constexpr double sparedShare = 0.94;

/** With fewer slots than this, one of them is worth more than what it would speed up. */
constexpr std::uint32_t fewestSlots = 25;

/** Requests for a mean whose error is a third of the difference looked for. */
constexpr std::size_t measured = 600;

/** Service times over their baseline below which all slots are used without a trial. */
constexpr double slowdownLookedAt = 1.1;

/** Service times with slots left free that are worth it: a tenth shorter, for 6 % of the slots. */
constexpr double worthSparing = 0.9;

/** Requests until the comparison is made again: a server may change. */
constexpr std::size_t keptFor = 40 * measured;

} // namespace

void SpareSlots::setSlots(std::uint32_t slots)
{
    if (slots == slots_)
        return;
    slots_ = slots;
    enter(Phase::MeasuringAll);
}

std::uint32_t SpareSlots::usable() const
{
    if (phase_ == Phase::MeasuringAll || slots_ < fewestSlots)
        return slots_;
    return static_cast<std::uint32_t>(sparedShare * slots_);
}

void SpareSlots::closeWindow(const ServedWork &served, bool wasBound)
{
    if (!wasBound || slots_ < fewestSlots)
        return;
    served_.count_ += served.count_;
    served_.measuredMillis_ += served.measuredMillis_;
    served_.baselineMillis_ += served.baselineMillis_;
    switch (phase_) {
    case Phase::Settling:
        if (served_.count_ >= 2 * slots_)
            enter(Phase::MeasuringSpared);
        break;
    case Phase::Keeping:
        if (served_.count_ >= keptFor)
            enter(Phase::MeasuringAll);
        break;
    case Phase::MeasuringAll:
    case Phase::MeasuringSpared:
        if (served_.count_ >= measured)
            endMeasurement();
        break;
    }
}

void SpareSlots::endMeasurement()
{
    if (phase_ == Phase::MeasuringAll) {
        slowdownOfAll_ = slowdown();
        enter(slowdownOfAll_ > slowdownLookedAt ? Phase::Settling : Phase::MeasuringAll);
        return;
    }
    const bool isWorthIt = slowdown() < worthSparing * slowdownOfAll_;
    enter(isWorthIt ? Phase::Keeping : Phase::MeasuringAll);
}

void SpareSlots::enter(Phase phase)
{
    phase_ = phase;
    served_ = {};
}

double SpareSlots::slowdown() const
{
    return served_.baselineMillis_ > 0 ? served_.measuredMillis_ / served_.baselineMillis_ : 1.0;
}

} // namespace admission::details

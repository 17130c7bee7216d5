#include <details/SpareSlots.h>

namespace admission::details {

namespace {

/** Share of the slots in use while some are kept free; servers slow down from 95 % on. */
constexpr double usableShare = 0.94;

/** With fewer slots, the loss of one outweighs the gain in speed. */
constexpr std::uint32_t minSlots = 25;

/** Gives a mean whose error is a third of the difference to be detected. */
constexpr std::size_t requestsPerMeasurement = 600;

/** Ratio of service time to baseline up to which all slots are used without a trial. */
constexpr double minSlowdownForTrial = 1.1;

/** Service times must fall by a tenth to be worth 6 % of the slots. */
constexpr double maxSlowdownRatio = 0.9;

/** Requests until the comparison is repeated, since the behaviour of a server may change. */
constexpr std::size_t requestsUntilRetrial = 40 * requestsPerMeasurement;

/** Requests until the next comparison after one without a gain, as each costs 6 % of the slots. */
constexpr std::size_t requestsUntilNextComparison = 10 * requestsPerMeasurement;

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
    const bool usesAll = phase_ == Phase::MeasuringAll || phase_ == Phase::UsingAll;
    if (usesAll || slots_ < minSlots)
        return slots_;
    return static_cast<std::uint32_t>(usableShare * slots_);
}

void SpareSlots::closeWindow(const ServedWork &served, bool wasLimitReached)
{
    if (!wasLimitReached || slots_ < minSlots)
        return;
    served_.count_ += served.count_;
    served_.measuredMillis_ += served.measuredMillis_;
    served_.baselineMillis_ += served.baselineMillis_;
    switch (phase_) {
    case Phase::Settling:
        if (served_.count_ >= 2 * slots_)
            enter(Phase::MeasuringWithSpare);
        break;
    case Phase::UsingAll:
        if (served_.count_ >= requestsUntilNextComparison)
            enter(Phase::MeasuringAll);
        break;
    case Phase::KeepingSpare:
        if (served_.count_ >= requestsUntilRetrial)
            enter(Phase::MeasuringAll);
        break;
    case Phase::MeasuringAll:
    case Phase::MeasuringWithSpare:
        if (served_.count_ >= requestsPerMeasurement)
            endMeasurement();
        break;
    }
}

void SpareSlots::endMeasurement()
{
    if (phase_ == Phase::MeasuringAll) {
        slowdownOfAll_ = slowdown();
        enter(slowdownOfAll_ > minSlowdownForTrial ? Phase::Settling : Phase::MeasuringAll);
        return;
    }
    const bool isFaster = slowdown() < maxSlowdownRatio * slowdownOfAll_;
    enter(isFaster ? Phase::KeepingSpare : Phase::UsingAll);
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

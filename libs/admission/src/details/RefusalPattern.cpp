#include <details/RefusalPattern.h>

namespace admission::details {

namespace {

constexpr double windowDecay = 0.95;

/** Requests that must have ended at low load for a judgement. */
constexpr double minEnded = 20;

/** Share of requests refused at low load, relative to that at high load. */
constexpr double minRelativeShare = 0.5;

} // namespace

void RefusalPattern::record(bool isRefused, bool isBusy)
{
    auto &counts = isBusy ? busy_ : idle_;
    counts.ended_ += 1;
    counts.refused_ += isRefused ? 1 : 0;
}

void RefusalPattern::closeWindow()
{
    idle_.decay(windowDecay);
    busy_.decay(windowDecay);
}

bool RefusalPattern::isLoadDependent() const
{
    return idle_.ended_ < minEnded || idle_.refused_ < 1
           || idle_.share() < minRelativeShare * busy_.share();
}

} // namespace admission::details

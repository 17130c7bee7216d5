#include <details/ServiceTimes.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace admission::details {

namespace {

constexpr double sampleGain = 0.1;
// With fewer samples the mean is noisy, and the baseline would follow its lowest values.
constexpr std::size_t minBaselineSamples = 20;
constexpr std::size_t minFirstSamples = 60;
constexpr double baselineFallGain = 0.2;
constexpr double standardErrorsToFall = 2.0;
constexpr double baselineRiseGain = 0.01;
constexpr double idleDecay = 0.9;

} // namespace

ServiceTimes::ServiceTimes()
    : states_(1)
{}

ClassIndex ServiceTimes::indexOf(std::string_view name)
{
    if (const auto found = indexes_.find(name); found != indexes_.end())
        return found->second;
    if (states_.size() >= maxClasses)
        return 0;
    indexes_.emplace(name, states_.size());
    states_.emplace_back();
    return states_.size() - 1;
}

base::Millis ServiceTimes::expected(ClassIndex index) const
{
    return base::Millis::fromMicros(
            static_cast<std::int64_t>(states_[index].expectedMillis_ * 1000.0));
}

void ServiceTimes::recordCompletion(ClassIndex index, base::Millis serviceTime)
{
    State &state = states_[index];
    const double sample = serviceTime.fractional();
    const bool isFirst = state.expectedMillis_ == 0.0;
    state.expectedMillis_ += (sample - state.expectedMillis_) * (isFirst ? 1.0 : sampleGain);
    state.isSampled_ = true;
    const bool hasBaseline = state.baselineMillis_ > 0.0;
    // When all slots were filled at about the same time, the shortest requests end first.
    if (!hasBaseline && ++state.completions_ <= 2 * std::size_t{slots_})
        return;
    state.sumMillis_ += sample;
    state.sumOfSquares_ += sample * sample;
    ++state.count_;
    if (!hasBaseline)
        return;
    ++window_.count_;
    window_.measuredMillis_ += sample;
    window_.baselineMillis_ += state.baselineMillis_;
}

void ServiceTimes::recordCancellation(ClassIndex index, base::Millis elapsed)
{
    State &state = states_[index];
    const double sample = elapsed.fractional();
    if (sample <= state.expectedMillis_)
        return;
    state.expectedMillis_ += (sample - state.expectedMillis_) * sampleGain;
    state.isSampled_ = true;
}

ServedWork ServiceTimes::closeWindow(bool canBaselineRise)
{
    for (State &state : states_) {
        const bool isFirst = state.baselineMillis_ == 0.0;
        if (state.count_ >= (isFirst ? minFirstSamples : minBaselineSamples))
            updateBaseline(state, canBaselineRise);
        // The estimate decays without samples, so that requests of a class that was refused as too
        // slow are admitted again.
        if (!state.isSampled_)
            state.expectedMillis_ *= idleDecay;
        state.isSampled_ = false;
    }
    return std::exchange(window_, {});
}

void ServiceTimes::updateBaseline(State &state, bool canRise)
{
    const auto count = static_cast<double>(state.count_);
    const double mean = state.sumMillis_ / count;
    const double variance = std::max(0.0, state.sumOfSquares_ / count - mean * mean);
    if (state.baselineMillis_ == 0.0)
        state.baselineMillis_ = mean;
    // Otherwise the baseline would follow the lowest of many noisy means.
    const double significantFall = standardErrorsToFall * std::sqrt(variance / count);
    if (mean + significantFall < state.baselineMillis_)
        state.baselineMillis_ += (mean - state.baselineMillis_) * baselineFallGain;
    else if (canRise && mean > state.baselineMillis_)
        state.baselineMillis_ += (mean - state.baselineMillis_) * baselineRiseGain;
    state.sumMillis_ = 0.0;
    state.sumOfSquares_ = 0.0;
    state.count_ = 0;
}

} // namespace admission::details

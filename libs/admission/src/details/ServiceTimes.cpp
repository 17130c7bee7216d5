#include <details/ServiceTimes.h>

#include <algorithm>
#include <utility>

namespace admission::details {

namespace {

constexpr double sampleGain = 0.1;
// With fewer samples the mean is noisy, and the baseline would follow its lowest values.
constexpr std::size_t minBaselineSamples = 20;
constexpr double baselineFallGain = 0.2;
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
    state.sumMillis_ += sample;
    ++state.count_;
    state.isSampled_ = true;
    if (state.baselineMillis_ == 0.0)
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
        if (state.count_ >= minBaselineSamples)
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
    const double mean = state.sumMillis_ / static_cast<double>(state.count_);
    if (state.baselineMillis_ == 0.0)
        state.baselineMillis_ = mean;
    if (mean < state.baselineMillis_)
        state.baselineMillis_ += (mean - state.baselineMillis_) * baselineFallGain;
    else if (canRise)
        state.baselineMillis_ += (mean - state.baselineMillis_) * baselineRiseGain;
    state.sumMillis_ = 0.0;
    state.count_ = 0;
}

} // namespace admission::details

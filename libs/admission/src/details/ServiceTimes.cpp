#include <details/ServiceTimes.h>

#include <algorithm>

namespace admission::details {

namespace {

constexpr double sampleGain = 0.1;
constexpr double baselineFallGain = 0.2;
constexpr double baselineRiseGain = 0.005;
constexpr double unsampledDecay = 0.9;

} // namespace

ServiceTimes::ServiceTimes()
    : states_(1)
{}

ClassIndex ServiceTimes::indexOf(std::string_view name)
{
    if (const auto known = indexes_.find(name); known != indexes_.end())
        return known->second;
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

void ServiceTimes::noteServed(ClassIndex index, base::Millis serviceTime)
{
    State &state = states_[index];
    const double sample = serviceTime.fractional();
    const bool isFirst = state.expectedMillis_ == 0.0;
    state.expectedMillis_ += (sample - state.expectedMillis_) * (isFirst ? 1.0 : sampleGain);
    state.windowSumMillis_ += sample;
    ++state.windowCount_;
    state.windowSampled_ = true;
}

void ServiceTimes::noteCutShort(ClassIndex index, base::Millis elapsed)
{
    State &state = states_[index];
    const double sample = elapsed.fractional();
    if (sample <= state.expectedMillis_)
        return;
    state.expectedMillis_ += (sample - state.expectedMillis_) * sampleGain;
    state.windowSampled_ = true;
}

double ServiceTimes::closeWindow()
{
    double measured = 0.0;
    double baseline = 0.0;
    for (State &state : states_) {
        if (state.windowCount_ > 0) {
            const double count = static_cast<double>(state.windowCount_);
            const double mean = state.windowSumMillis_ / count;
            if (state.baselineMillis_ == 0.0)
                state.baselineMillis_ = mean;
            measured += state.windowSumMillis_;
            baseline += state.baselineMillis_ * count;
            const bool isFaster = mean < state.baselineMillis_;
            state.baselineMillis_ += (mean - state.baselineMillis_)
                                     * (isFaster ? baselineFallGain : baselineRiseGain);
        }
        // Without samples the estimate fades, so that a class judged too slow is tried again.
        if (!state.windowSampled_)
            state.expectedMillis_ *= unsampledDecay;
        state.windowSumMillis_ = 0.0;
        state.windowCount_ = 0;
        state.windowSampled_ = false;
    }
    return baseline > 0.0 ? measured / baseline : 0.0;
}

void ServiceTimes::acceptPresentAsBaseline()
{
    for (State &state : states_)
        state.baselineMillis_ = std::max(state.baselineMillis_, state.expectedMillis_);
}

} // namespace admission::details

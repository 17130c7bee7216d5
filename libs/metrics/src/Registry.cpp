#include <metrics/Registry.h>

#include <map>
#include <set>
#include <string>
#include <utility>

#include <details/Histogram.h>
#include <metrics/LabelSet.h>
#include <model/Config.h>

namespace metrics {

namespace {

/** Metrics of one customer and class. */
struct Counts
{
    std::array<std::uint64_t, outcomeCount> outcomes_ = {};
    std::uint64_t attempts_ = 0;
    details::Histogram latency_;
    details::Histogram queueing_;
};

using Labels = std::pair<std::string, std::string>;

template<typename Map>
std::set<std::string, std::less<>> namesOf(const Map &map)
{
    std::set<std::string, std::less<>> result;
    for (const auto &[name, value] : map)
        result.insert(name);
    return result;
}

} // namespace

struct Registry::Impl
{
    Counts &countsFor(const Sample &sample)
    {
        Labels labels = {std::string(customers_.labelFor(sample.customer_)),
                         std::string(classes_.labelFor(sample.requestClass_))};
        const bool isFull = counts_.size() >= options_.maxSeries_;
        if (isFull && !counts_.contains(labels))
            labels = {"other", "other"};
        return counts_[labels];
    }

    Options options_;
    LabelSet customers_;
    LabelSet classes_;
    std::map<Labels, Counts> counts_;
};

Registry::Registry(const Options &options)
    : impl_(std::make_unique<Impl>(Impl{
            options, LabelSet(options.maxOtherCustomers_), LabelSet(options.maxOtherClasses_), {}}))
{}

Registry::~Registry() = default;
Registry::Registry(Registry &&) noexcept = default;
Registry &Registry::operator=(Registry &&) noexcept = default;

void Registry::configure(const model::Config &config)
{
    impl_->customers_.configure(namesOf(config.customers_));
    impl_->classes_.configure(namesOf(config.classes_));
}

void Registry::record(const Sample &sample, base::Millis now)
{
    Counts &counts = impl_->countsFor(sample);
    ++counts.outcomes_[static_cast<std::size_t>(sample.outcome_)];
    counts.attempts_ += sample.attempts_;
    counts.latency_.add(sample.latency_, now);
    counts.queueing_.add(sample.queueing_, now);
}

Snapshot Registry::snapshot() const
{
    Snapshot result;
    for (const auto &[labels, counts] : impl_->counts_) {
        result.series_.push_back({.customer_ = labels.first,
                                  .requestClass_ = labels.second,
                                  .outcomes_ = counts.outcomes_,
                                  .attempts_ = counts.attempts_,
                                  .latency_ = counts.latency_.distribution(),
                                  .queueing_ = counts.queueing_.distribution()});
    }
    return result;
}

} // namespace metrics

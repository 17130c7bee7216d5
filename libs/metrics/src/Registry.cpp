#include <metrics/Registry.h>

#include <map>
#include <set>
#include <string>
#include <utility>

#include <details/Histogram.h>
#include <metrics/CustomerRanking.h>
#include <metrics/LabelSet.h>
#include <model/Config.h>

namespace metrics {

namespace {

constexpr base::Millis rerankInterval(1000);
constexpr const char *otherLabel = "other";

/** Metrics of one customer and class. */
struct Counts
{
    std::array<std::uint64_t, outcomeCount> outcomes_ = {};
    std::uint64_t attempts_ = 0;
    details::Histogram latency_;
    details::Histogram queueing_;

    void add(const Counts &counts)
    {
        for (std::size_t i = 0; i < outcomeCount; ++i)
            outcomes_[i] += counts.outcomes_[i];
        attempts_ += counts.attempts_;
        latency_.addTotals(counts.latency_);
        queueing_.addTotals(counts.queueing_);
    }
};

void add(CustomerUsage &sum, const CustomerUsage &usage)
{
    sum.completeCount_ += usage.completeCount_;
    sum.sentCount_ += usage.sentCount_;
    for (const auto &[reason, count] : usage.failures_)
        sum.failures_[reason] += count;
}

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
    std::string customerLabel(const Sample &sample, base::Millis now)
    {
        if (!customers_.isConfigured(sample.customer_))
            return std::string(customers_.labelFor(sample.customer_));
        if (now >= nextRerank_) {
            addToOther(ranking_.rerank(now));
            nextRerank_ = now + rerankInterval;
        }
        return ranking_.recordRequest(sample.customer_, now) ? sample.customer_ : otherLabel;
    }

    Counts &countsFor(const std::string &customer, const Sample &sample)
    {
        Labels labels = {customer, std::string(classes_.labelFor(sample.requestClass_))};
        const bool isFull = counts_.size() >= options_.maxSeries_;
        if (isFull && !counts_.contains(labels))
            labels = {otherLabel, otherLabel};
        return counts_[labels];
    }

    void recordUsage(const std::string &customer, const Sample &sample)
    {
        const auto label =
                customers_.isConfigured(customer) || customer == "none" ? customer : otherLabel;
        auto &usage = usages_[label];
        usage.completeCount_ += sample.outcome_ == Outcome::Complete ? 1 : 0;
        usage.sentCount_ += sample.attempts_ > 0 ? 1 : 0;
        if (!sample.failure_.empty())
            ++usage.failures_[sample.failure_];
    }

    void addToOther(const std::vector<std::string> &customers)
    {
        for (const auto &customer : customers) {
            if (customer == otherLabel)
                continue;
            if (const auto usage = usages_.extract(customer))
                add(usages_[otherLabel], usage.mapped());
            for (auto it = counts_.lower_bound({customer, ""});
                 it != counts_.end() && it->first.first == customer; it = counts_.erase(it))
                counts_[{otherLabel, it->first.second}].add(it->second);
        }
    }

    Options options_;
    LabelSet customers_;
    LabelSet classes_;
    CustomerRanking ranking_;
    base::Millis nextRerank_;
    std::map<Labels, Counts> counts_;
    std::map<std::string, CustomerUsage> usages_; ///< by label
};

Registry::Registry(const Options &options)
    : impl_(std::make_unique<Impl>(Impl{.options_ = options,
                                        .customers_ = LabelSet(options.maxOtherCustomers_),
                                        .classes_ = LabelSet(options.maxOtherClasses_),
                                        .ranking_ = CustomerRanking(options.maxCustomers_),
                                        .nextRerank_ = {},
                                        .counts_ = {},
                                        .usages_ = {}}))
{}

Registry::~Registry() = default;
Registry::Registry(Registry &&) noexcept = default;
Registry &Registry::operator=(Registry &&) noexcept = default;

void Registry::configure(const model::Config &config)
{
    impl_->customers_.configure(namesOf(config.customers_));
    impl_->classes_.configure(namesOf(config.classes_));
    impl_->addToOther(impl_->ranking_.removeIf(
            [&](const std::string &name) { return !config.customers_.contains(name); }));
}

void Registry::record(const Sample &sample, base::Millis now)
{
    const auto customer = impl_->customerLabel(sample, now);
    if (impl_->customers_.hasConfiguredNames())
        impl_->recordUsage(customer, sample);
    Counts &counts = impl_->countsFor(customer, sample);
    ++counts.outcomes_[static_cast<std::size_t>(sample.outcome_)];
    counts.attempts_ += sample.attempts_;
    counts.latency_.add(sample.latency_, now);
    counts.queueing_.add(sample.queueing_, now);
}

Snapshot Registry::snapshot(base::Millis now) const
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
    for (const auto &[customer, usage] : impl_->usages_) {
        auto &copy = result.customers_.emplace_back(usage);
        copy.customer_ = customer;
        copy.requestsPerSecond_ = impl_->ranking_.ratePerSecond(customer, now);
    }
    return result;
}

} // namespace metrics

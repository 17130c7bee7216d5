#include <metrics/Prometheus.h>
#include <metrics/Registry.h>

#include <algorithm>

#include <base/Random.h>
#include <gtest/gtest.h>
#include <model/Config.h>

using namespace metrics;
using base::Millis;

namespace {

Sample makeSample(const std::string &customer, Millis latency = Millis(10))
{
    return {.customer_ = customer, .requestClass_ = "redeem", .latency_ = latency};
}

const Series *findSeries(const Snapshot &snapshot, const std::string &customer)
{
    for (const Series &series : snapshot.series_) {
        if (series.customer_ == customer)
            return &series;
    }
    return nullptr;
}

bool hasLine(const std::string &text, const std::string &line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST(Registry, unconfiguredNamesKeepSeriesBounded)
{
    const Options options = {.maxOtherCustomers_ = 5, .maxOtherClasses_ = 3, .maxSeries_ = 12};
    Registry registry(options);
    model::Config config;
    config.customers_["school"] = {.name_ = "school"};
    constexpr int names = 2000;
    for (int i = 0; i < names; ++i) {
        registry.record({.customer_ = "c" + std::to_string(i),
                         .requestClass_ = "r" + std::to_string(i % 50)},
                        Millis(i));
    }
    registry.configure(config);
    registry.record(makeSample("school"), Millis(names));
    const auto snapshot = registry.snapshot(Millis(0));
    EXPECT_LE(snapshot.series_.size(), options.maxSeries_ + 1);
    std::uint64_t counted = 0;
    for (const Series &series : snapshot.series_)
        counted += series.latency_.count_;
    EXPECT_EQ(counted, names + 1u);
}

TEST(Registry, configuredCustomerHasOwnSeriesBeyondLimit)
{
    Registry registry({.maxOtherCustomers_ = 1});
    model::Config config;
    config.customers_["school"] = {.name_ = "school"};
    registry.configure(config);
    for (const char *name : {"a", "b", "school", ""})
        registry.record(makeSample(name), Millis(1));
    const auto snapshot = registry.snapshot(Millis(0));
    for (const char *label : {"a", "other", "school", "none"}) {
        ASSERT_NE(findSeries(snapshot, label), nullptr) << label;
        EXPECT_EQ(findSeries(snapshot, label)->latency_.count_, 1u);
    }
}

namespace {

std::string customerName(int i)
{
    return "customer-" + std::to_string(i);
}

model::Config configWithCustomers(int count)
{
    model::Config config;
    for (int i = 0; i < count; ++i)
        config.customers_[customerName(i)] = {.name_ = customerName(i)};
    for (int i = 0; i < 7; ++i)
        config.classes_["class-" + std::to_string(i)] = {};
    return config;
}

Sample sampleOf(int customer, int i)
{
    const bool isRefused = i % 3 == 0;
    return {.customer_ = customerName(customer),
            .requestClass_ = "class-" + std::to_string(i % 7),
            .outcome_ = isRefused ? Outcome::NotRun : Outcome::Complete,
            .failure_ = isRefused ? "not-run/allowance-spent" : "",
            .attempts_ = isRefused ? 0U : 1U};
}

std::uint64_t requestsOf(const CustomerUsage &usage)
{
    std::uint64_t sum = usage.completeCount_;
    for (const auto &[reason, count] : usage.failures_)
        sum += count;
    return sum;
}

const CustomerUsage *findUsage(const Snapshot &snapshot, const std::string &customer)
{
    const auto found = std::ranges::find(snapshot.customers_, customer, &CustomerUsage::customer_);
    return found == snapshot.customers_.end() ? nullptr : &*found;
}

} // namespace

/** The load: 5,000 customers that send alike, then ten of them a hundred times as much. */
TEST(Registry, largestOfManyCustomersHaveSeriesAndNothingIsLost)
{
    constexpr int customers = 5000;
    constexpr int hotCustomers = 10;
    Registry registry;
    registry.configure(configWithCustomers(customers));
    int recorded = 0;
    const auto send = [&](int customer, Millis now) {
        registry.record(sampleOf(customer, recorded++), now);
    };
    for (int i = 0; i < customers; ++i)
        send(i, Millis(i));
    std::uint64_t otherBefore = 0;
    for (int second = 5; second < 25; ++second) {
        const Millis now(second * 1000);
        for (int i = 0; i < 1000; ++i)
            send(customers - 1 - i % hotCustomers, now);
        for (int i = 0; i < customers / 10; ++i)
            send(i * 10, now);
        const auto snapshot = registry.snapshot(now);
        ASSERT_LE(snapshot.customers_.size(), 65U);
        ASSERT_LE(snapshot.series_.size(), 65U * 7U);
        const auto other = requestsOf(*findUsage(snapshot, "other"));
        ASSERT_GE(other, otherBefore);
        otherBefore = other;
        std::uint64_t sum = 0;
        for (const auto &usage : snapshot.customers_)
            sum += requestsOf(usage);
        ASSERT_EQ(sum, static_cast<std::uint64_t>(recorded));
        sum = 0;
        for (const auto &series : snapshot.series_)
            sum += series.latency_.count_;
        ASSERT_EQ(sum, static_cast<std::uint64_t>(recorded));
    }
    const auto snapshot = registry.snapshot(Millis(24000));
    for (int i = 1; i <= hotCustomers; ++i) {
        const auto *usage = findUsage(snapshot, customerName(customers - i));
        ASSERT_NE(usage, nullptr) << i;
        EXPECT_GT(usage->failures_.at("not-run/allowance-spent"), 500U);
        EXPECT_EQ(usage->sentCount_, usage->completeCount_);
        EXPECT_GT(usage->requestsPerSecond_, 30.0);
    }
    constexpr std::size_t maxTextBytes = 3 * 1024 * 1024;
    EXPECT_LT(renderPrometheus(snapshot).size(), maxTextBytes);
}

TEST(Registry, withdrawnCustomersAreAddedToOther)
{
    Registry registry;
    auto config = configWithCustomers(2);
    config.customers_["other"] = {.name_ = "other"};
    registry.configure(config);
    for (int i = 0; i < 6; ++i)
        registry.record(sampleOf(i % 2, i), Millis(i));
    registry.record(makeSample("other"), Millis(7));
    registry.configure(configWithCustomers(1));
    const auto snapshot = registry.snapshot(Millis(10));
    EXPECT_EQ(findUsage(snapshot, customerName(1)), nullptr);
    EXPECT_EQ(requestsOf(*findUsage(snapshot, "other")), 4U);
    EXPECT_TRUE(hasLine(renderPrometheus(snapshot),
                        "fuchsiadock_customer_not_complete_total{customer=\"customer-0\","
                        "reason=\"not-run/allowance-spent\"} 1"));
}

/** Without customers in the configuration nothing is exported for them. */
TEST(Registry, showsNoUsageWithoutConfiguredCustomers)
{
    Registry registry;
    registry.record(makeSample("a"), Millis(1));
    const auto snapshot = registry.snapshot(Millis(1));
    EXPECT_TRUE(snapshot.customers_.empty());
    EXPECT_EQ(renderPrometheus(snapshot).find("customer_complete"), std::string::npos);
}

TEST(Registry, quantilesCoverRecentRequestsOnly)
{
    Registry registry;
    base::Random random(1);
    for (int i = 0; i < 20000; ++i)
        registry.record(makeSample("a", Millis(5000)), Millis(i));
    for (int i = 0; i < 20000; ++i) {
        const auto latency = Millis::fromMicros(static_cast<std::int64_t>(random.below(100000)));
        registry.record(makeSample("a", latency), Millis(200000 + i));
    }
    const auto snapshot = registry.snapshot(Millis(0));
    const auto &latency = findSeries(snapshot, "a")->latency_;
    for (std::size_t i = 0; i < quantiles.size(); ++i)
        EXPECT_NEAR(latency.quantileMillis_[i], 100.0 * quantiles[i], 2.0);
    EXPECT_LE(latency.maxMillis_, 100.0);
    EXPECT_EQ(latency.count_, 40000u);
}

TEST(Prometheus, bucketsAreCumulativeAndEndWithTheCount)
{
    Registry registry;
    for (const int millis : {1, 3, 3, 60000})
        registry.record(makeSample("a", Millis(millis)), Millis(1));
    const auto text = renderPrometheus(registry.snapshot(Millis(0)));
    const std::string name = "fuchsiadock_request_duration_seconds";
    const std::string labels = "{customer=\"a\",class=\"redeem\"";
    EXPECT_TRUE(hasLine(text, "# TYPE " + name + " histogram"));
    EXPECT_TRUE(hasLine(text, name + "_bucket" + labels + ",le=\"0.0005\"} 0"));
    EXPECT_TRUE(hasLine(text, name + "_bucket" + labels + ",le=\"0.001\"} 1"));
    EXPECT_TRUE(hasLine(text, name + "_bucket" + labels + ",le=\"0.005\"} 3"));
    EXPECT_TRUE(hasLine(text, name + "_bucket" + labels + ",le=\"10\"} 3"));
    EXPECT_TRUE(hasLine(text, name + "_bucket" + labels + ",le=\"+Inf\"} 4"));
    EXPECT_TRUE(hasLine(text, name + "_sum" + labels + "} 60.007"));
    EXPECT_TRUE(hasLine(text, "fuchsiadock_requests_total" + labels + ",outcome=\"complete\"} 4"));
}

TEST(Prometheus, labelValuesCannotInjectLines)
{
    EXPECT_EQ(escapedLabelValue("a\"b\\c\nd\re"), "a\\\"b\\\\c\\nd?e");
    Registry registry;
    model::Config config;
    const std::string name = "x\"} 1\nfuchsiadock_up 0\n#";
    config.customers_[name] = {.name_ = name};
    registry.configure(config);
    registry.record(makeSample(name), Millis(1));
    registry.record(makeSample("\xff\xfe"), Millis(1));
    const auto text = renderPrometheus(registry.snapshot(Millis(0)));
    EXPECT_EQ(text.find("\nfuchsiadock_up"), std::string::npos);
    EXPECT_EQ(text.find('\xff'), std::string::npos);
}

TEST(Prometheus, linesOfOneMetricAreConsecutive)
{
    Snapshot snapshot;
    for (const char *service : {"wallet", "redeem"}) {
        snapshot.values_.push_back(
                {"limit", "Limit.", ValueKind::Gauge, {{"service", service}}, 7});
        snapshot.values_.push_back({"up", "Up.", ValueKind::Gauge, {}, 1});
    }
    EXPECT_TRUE(hasLine(renderPrometheus(snapshot),
                        "# HELP fuchsiadock_limit Limit.\n# TYPE fuchsiadock_limit gauge\n"
                        "fuchsiadock_limit{service=\"wallet\"} 7\n"
                        "fuchsiadock_limit{service=\"redeem\"} 7"));
}

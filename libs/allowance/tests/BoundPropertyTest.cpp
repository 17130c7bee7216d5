#include <Cluster.h>

#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace allowance;
using namespace allowance::tests;
using base::Millis;

namespace {

constexpr std::size_t size = 12;

std::vector<std::size_t> anyDaemons()
{
    std::vector<std::size_t> all(size);
    std::iota(all.begin(), all.end(), 0);
    const auto first = *rc::gen::inRange<std::size_t>(0, size);
    const auto last = *rc::gen::inRange<std::size_t>(first + 1, size + 1);
    return {all.begin() + static_cast<std::ptrdiff_t>(first),
            all.begin() + static_cast<std::ptrdiff_t>(last)};
}

void heal(Cluster &cluster)
{
    for (std::size_t i = 0; i < size; ++i) {
        cluster.setSide(i, 0);
        if (!cluster.isAlive(i))
            cluster.start(i);
    }
}

void disturb(Cluster &cluster, const std::string &customer)
{
    const auto index = *rc::gen::inRange<std::size_t>(0, size);
    const auto allotter = cluster.allotterOf(customer);
    const auto target = allotter < size && *rc::gen::arbitrary<bool>() ? allotter : index;
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
        return cluster.freeze(target, Millis(*rc::gen::inRange(100, 9000)));
    case 1:
        cluster.kill(target);
        return cluster.start(target);
    case 2:
        return cluster.kill(target);
    case 3:
        return cluster.setSide(target, *rc::gen::inRange(0, 3));
    case 4:
        for (std::size_t i = 0; i < size; ++i)
            cluster.setSide(i, i < index ? 1 : 0);
        return;
    case 5:
        return heal(cluster);
    case 6:
        return cluster.stopStoreUntil(cluster.now() + Millis(*rc::gen::inRange(100, 6000)));
    case 7:
        return cluster.handOver(target, groupOf(customer));
    default:
        for (std::size_t i = 0; i < size; ++i) {
            cluster.kill(i);
            cluster.start(i);
        }
    }
}

} // namespace

RC_GTEST_PROP(AllowanceProperty, boundHoldsInEveryWindow, ())
{
    Settings settings;
    settings.slack_ = *rc::gen::element(0, 0, 5, 30);
    settings.overrun_ = *rc::gen::element(0.0, 0.05, 0.1, 0.3);
    settings.window_ = Millis(*rc::gen::element(1000, 5000, 10000));
    const double rate = *rc::gen::element(1, 5, 40, 200, 400);
    model::Customer customer{.name_ = "c" + std::to_string(*rc::gen::inRange(0, 8))};
    customer.allowance_ = model::Allowance{rate, *rc::gen::element(0.0, 1.0, 2.0) * rate};
    Cluster cluster(size, settings, {customer}, *rc::gen::arbitrary<std::uint64_t>());
    auto &network = cluster.network();
    network.loss_ = *rc::gen::element(0.0, 0.0, 0.0, 0.05, 0.4);
    network.duplicate_ = *rc::gen::element(0.0, 0.2);
    network.late_ = *rc::gen::element(0.0, 0.0, 0.0, 0.02, 0.2);
    network.maxDelay_ = Millis(*rc::gen::element(2, 2, 20, 200));
    network.storeLoss_ = *rc::gen::element(0.0, 0.0, 0.0, 0.1, 0.5);
    network.storeLate_ = *rc::gen::element(0.0, 0.0, 0.0, 0.1, 0.5);
    for (int step = 0; step < 20; ++step) {
        const auto until = cluster.now() + Millis(*rc::gen::inRange(200, 5000));
        cluster.load(customer.name_, anyDaemons(), rate * *rc::gen::element(0.3, 1.0, 3.0, 8.0),
                     until);
        cluster.setRefundAfter(Millis(*rc::gen::element(0, 0, 0, 0, 0, 10, 1000)));
        cluster.runUntil(until);
        // Long troubles leave hardly any request admitted.
        switch (*rc::gen::element(0, 0, 0, 1, 1, 2, 2)) {
        case 1:
            heal(cluster);
            break;
        case 2:
            disturb(cluster, customer.name_);
        }
    }
    RC_LOG() << "excess " << cluster.excess(customer.name_) << " admitted "
             << cluster.result(customer.name_).admitted_.size() << std::endl;
    RC_ASSERT(cluster.excess(customer.name_) <= 0);
}

// Measures the time of a routing decision, for two member counts, of an admission decision, without
// and with overload, and of the decision whose a request is, alone and with that on its allowance,
// for two numbers of customers.
#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <new>
#include <string>
#include <vector>

#include <admission/Core.h>
#include <allowance/Wallet.h>
#include <base/Clock.h>
#include <base/Random.h>
#include <identity/Core.h>
#include <routing/Core.h>

namespace {

std::atomic<std::uint64_t> allocationCount = 0;

} // namespace

void *operator new(std::size_t size)
{
    ++allocationCount;
    if (void *memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace {

using base::Millis;

constexpr int decisionsPerRound = 200000;
constexpr int roundCount = 5;
constexpr std::uint64_t seed = 1;

/** Prints the fastest and slowest of several rounds, in nanoseconds per decision. */
void measure(const std::string &name, const std::function<void()> &runDecisions)
{
    double fastest = 1e18;
    double slowest = 0.0;
    for (int round = 0; round < roundCount; ++round) {
        const Millis start = base::monotonicNow();
        runDecisions();
        const double micros = static_cast<double>((base::monotonicNow() - start).micros());
        const double nanos = 1000.0 * micros / decisionsPerRound;
        fastest = std::min(fastest, nanos);
        slowest = std::max(slowest, nanos);
    }
    std::printf("%-44s %8.0f to %8.0f ns\n", name.c_str(), fastest, slowest);
}

std::vector<model::Member> members(int count)
{
    constexpr int services = 4;
    constexpr int dataCentres = 3;
    std::vector<model::Member> result;
    for (int i = 0; i < count; ++i) {
        result.push_back({.id_ = "instance-" + std::to_string(i),
                          .generation_ = 1,
                          .region_ = "vn-south",
                          .dataCentre_ = "dc" + std::to_string(i % dataCentres),
                          .service_ = "service" + std::to_string(i / dataCentres % services),
                          .slots_ = 100,
                          .serving_ = model::ServingState::Ready});
    }
    return result;
}

void measureRouting(int count)
{
    routing::Core core(
            {.daemonId_ = "self", .dataCentre_ = "dc0", .region_ = "vn-south", .seed_ = seed});
    const auto all = members(count);
    core.handle(routing::MembersChanged{all}, Millis(1));
    constexpr std::size_t inFlight = 50;
    std::deque<std::string> sent;
    measure("routing, " + std::to_string(count) + " members, whole call", [&] {
        for (int i = 0; i < decisionsPerRound; ++i) {
            const Millis now = Millis::fromMicros(1000 + 20 * i);
            const auto choice = core.choose("service1", {.rank_ = 3}, {}, now);
            core.handle(routing::CallSent{choice->member_->id_, {.rank_ = 3}}, now);
            sent.push_back(choice->member_->id_);
            if (sent.size() > inFlight) {
                core.handle(routing::CallAnswered{.instance_ = sent.front()}, now);
                sent.pop_front();
            }
        }
    });
    constexpr int changeCount = 20;
    auto changed = all;
    const Millis start = base::monotonicNow();
    for (int i = 0; i < changeCount; ++i) {
        changed[0].serving_ =
                i % 2 == 0 ? model::ServingState::Draining : model::ServingState::Ready;
        core.handle(routing::MembersChanged{changed}, Millis(5000));
    }
    const double micros =
            static_cast<double>((base::monotonicNow() - start).micros()) / changeCount;
    std::printf("%-44s %8.0f us\n",
                ("routing, " + std::to_string(count) + " members, one member changes").c_str(),
                micros);
}

/** Alternates arrivals and completions; `arrivalsPerCompletion` above 1 keeps the queue full. */
void measureAdmission(const std::string &name, std::uint32_t slots, int arrivalsPerCompletion)
{
    admission::Core core;
    core.handle(admission::Configured{.slots_ = slots}, Millis(1));
    base::Random random(seed);
    std::deque<admission::RequestId> running;
    admission::RequestId nextId = 1;
    Millis now = Millis(1);
    const auto collectStarted = [&](const std::vector<admission::Command> &commands) {
        for (const auto &command : commands) {
            if (const auto *start = std::get_if<admission::Start>(&command))
                running.push_back(start->id_);
        }
    };
    measure(name, [&] {
        for (int i = 0; i < decisionsPerRound; ++i) {
            now = now + Millis::fromMicros(100);
            const admission::Priority priority = {
                    .rank_ = static_cast<int>(random.below(4)),
                    .bucket_ = static_cast<int>(random.below(admission::Priority::bucketCount))};
            collectStarted(core.handle(
                    admission::Arrived{nextId++, priority, "customer", "class", now + Millis(1000)},
                    now));
            const bool isCompletion = i % arrivalsPerCompletion == 0 && running.size() >= slots / 2;
            if (!isCompletion)
                continue;
            const admission::RequestId completedId = running.front();
            running.pop_front();
            collectStarted(core.handle(
                    admission::Finished{completedId, admission::Outcome::Ok, Millis(10)}, now));
        }
    });
}

/** Decides on known keys of all customers in turn; each customer has two keys. */
void measureIdentity(int customerCount)
{
    auto config = std::make_shared<model::Config>();
    std::vector<std::string> keys;
    for (int i = 0; i < customerCount; ++i) {
        model::Customer customer{.name_ = "customer" + std::to_string(i)};
        for (const char *suffix : {"-a", "-b"}) {
            keys.push_back("0123456789abcdef-key-" + std::to_string(i) + suffix);
            customer.keys_.push_back(model::KeyDigest::of(keys.back()));
        }
        config->addCustomer(std::move(customer));
    }
    identity::Core core(identity::Limits::of(Millis(5000), Millis(2000)));
    core.configure(config);
    core.confirm(Millis(1));
    std::size_t admitted = 0;
    measure("identity, " + std::to_string(customerCount) + " customers, known key", [&] {
        for (int i = 0; i < decisionsPerRound; ++i) {
            const auto &key = keys[static_cast<std::size_t>(i) * 7919 % keys.size()];
            const auto decision = core.decide({.key_ = key}, Millis(2));
            admitted += std::holds_alternative<identity::Admitted>(decision) ? 1U : 0U;
        }
    });
    if (admitted != static_cast<std::size_t>(decisionsPerRound) * roundCount)
        std::printf("not every key was admitted\n");
}

/** Decides on known keys and, with tokens in stock, on the allowance of each key's customer. */
void measureAllowance(std::size_t customerCount)
{
    auto config = std::make_shared<model::Config>();
    std::vector<std::string> keys;
    const allowance::Settings settings;
    allowance::Wallet wallet(settings, "self", 1, seed);
    for (std::uint32_t group = 0; group < allowance::groupCount; ++group)
        wallet.setCandidates(group, {"allotter"});
    constexpr model::Allowance limit{1e8, 1e8};
    constexpr double tokens = 1e6;
    for (std::size_t i = 0; i < customerCount; ++i) {
        model::Customer customer{.name_ = "customer" + std::to_string(i)};
        keys.push_back("0123456789abcdef-key-" + std::to_string(i));
        customer.keys_.push_back(model::KeyDigest::of(keys.back()));
        customer.allowance_ = limit;
        wallet.admit(customer.name_, limit, Millis(1));
        wallet.leave(customer.name_);
        config->addCustomer(std::move(customer));
    }
    for (const auto &[target, ask] : wallet.due(Millis(1000))) {
        allowance::Granted granted{{}, Millis(400)};
        for (const auto &item : ask.items_) {
            granted.grants_.push_back(
                    {.customer_ = item.customer_, .stock_ = tokens, .refill_ = tokens});
        }
        wallet.onAnswer({ask.group_, ask.number_, granted}, Millis(1001));
    }
    identity::Core core(identity::Limits::of(Millis(5000), Millis(2000)));
    core.configure(config);
    core.confirm(Millis(1001));
    std::size_t admitted = 0;
    std::uint64_t allocations = 0;
    measure("key and allowance, " + std::to_string(customerCount) + " customers", [&] {
        const auto before = allocationCount.load();
        for (int i = 0; i < decisionsPerRound; ++i) {
            const auto &key = keys[static_cast<std::size_t>(i) * 7919 % keys.size()];
            const auto decision = core.decide({.key_ = key}, Millis(1002));
            const auto &customer = *std::get<identity::Admitted>(decision).customer_;
            const auto verdict = wallet.admit(customer.name_, *customer.allowance_, Millis(1002));
            admitted += std::holds_alternative<allowance::Admitted>(verdict) ? 1U : 0U;
        }
        allocations += allocationCount - before;
    });
    std::printf("%-44s %8llu\n", "  allocations in all these decisions",
                static_cast<unsigned long long>(allocations));
    if (admitted != static_cast<std::size_t>(decisionsPerRound) * roundCount)
        std::printf("not every request was admitted\n");
}

} // namespace

int main()
{
    for (const int count : {39, 2100})
        measureRouting(count);
    measureAdmission("admission, 140 slots, no overload", 140, 1);
    measureAdmission("admission, 140 slots, 4 times the capacity", 140, 4);
    for (const int count : {82, 5000})
        measureIdentity(count);
    for (const std::size_t count : {82U, 5000U})
        measureAllowance(count);
    return 0;
}

// Measures time per decision and memory per retained record of libs/once and libs/retry.

#include <base/Clock.h>
#include <base/Mac.h>
#include <once/Executor.h>
#include <once/Home.h>
#include <retry/ContextTable.h>
#include <retry/Core.h>

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <malloc.h>
#include <string>
#include <vector>

namespace {

using base::Millis;

const once::Incarnation homeId{"wallet-1.vn-south-1", 1764824956000};
const once::Incarnation executorId{"redeem-3.vn-south-2", 1764824957000};
const char *const customer = "north-school-network";

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

/** Prints time and heap growth per operation, from construction to destruction. */
class Measurement
{
public:
    Measurement(std::string name, std::size_t operations)
        : name_(std::move(name))
        , operationCount_(operations)
        , initialHeapBytes_(heapBytes())
        , startedAt_(base::monotonicNow())
    {}

    ~Measurement()
    {
        const auto time = base::monotonicNow() - startedAt_;
        const auto count = static_cast<double>(operationCount_);
        const auto nanos = static_cast<double>(time.micros()) * 1000 / count;
        const auto bytes =
                (static_cast<double>(heapBytes()) - static_cast<double>(initialHeapBytes_));
        std::printf("%-44s %8.0f ns %8.0f bytes\n", name_.c_str(), nanos, bytes / count);
    }

    Measurement(const Measurement &) = delete;
    Measurement &operator=(const Measurement &) = delete;

private:
    std::string name_;
    std::size_t operationCount_;
    std::size_t initialHeapBytes_;
    Millis startedAt_;
};

once::AnswerPtr makeAnswer(std::size_t bodyBytes)
{
    once::Answer answer{200, {{"content-type", "application/json"}}, std::string(bodyBytes, 'x')};
    return std::make_shared<once::Answer>(std::move(answer));
}

void measureKeys(std::size_t count)
{
    once::Home home(homeId, {}, base::randomSecret());
    std::vector<std::string> keyTexts(count);
    {
        const Measurement measurement("home: issue a key, text form", count);
        for (auto &text : keyTexts)
            text = home.issueKey(customer, "redeem", Millis(1)).text();
    }
    std::size_t parsed = 0;
    {
        const Measurement measurement("key: parse", count);
        for (const auto &text : keyTexts)
            parsed += once::Key::parse(text).has_value();
    }
    std::printf("key text: %zu characters, %zu parsed\n", keyTexts[0].size(), parsed);
}

once::Request requestOf(once::WaiterId waiter, const once::Key &key)
{
    return {waiter, key, customer, "redeem", 7, Millis(60'000)};
}

void measureHome(std::size_t count, std::size_t bodyBytes)
{
    once::HomeSettings settings;
    settings.maxRecords_ = count;
    settings.maxAnswerBytes_ = count * (bodyBytes + 512) * 2;
    once::Home home(homeId, settings, base::randomSecret());
    std::vector<once::Key> keys;
    for (std::size_t i = 0; i < count; ++i)
        keys.push_back(home.issueKey(customer, "redeem", Millis(1)));
    once::WaiterId waiter = 0;
    {
        const Measurement measurement("home: request, delegation, answer; kept", count);
        for (const auto &key : keys) {
            const auto now = Millis::fromMicros(static_cast<std::int64_t>(waiter));
            const auto chosen = home.handle(requestOf(++waiter, key), now);
            const auto record = std::get<once::ChooseExecutor>(chosen.at(0)).record_;
            const auto sent = home.handle(once::Chosen{record, executorId}, now);
            const auto subKey = std::get<once::Delegate>(sent.at(0)).subKey_;
            home.handle(once::ExecutorReplied{subKey, once::Complete{makeAnswer(bodyBytes)}}, now);
        }
    }
    const auto counts = home.counts();
    std::printf("home: %zu records, %zu bytes of answers\n", counts.records_, counts.answerBytes_);
    const Measurement measurement("home: repetition of a finished key", count);
    for (const auto &key : keys)
        home.handle(requestOf(++waiter, key), Millis(1000));
}

void measureRefusedRequests(std::size_t count)
{
    once::Home home(homeId, {}, base::randomSecret());
    std::vector<once::Key> keys;
    for (std::size_t i = 0; i < count; ++i)
        keys.push_back(home.issueKey(customer, "redeem", Millis(1)));
    once::WaiterId waiter = 0;
    const once::NotRun refusal{once::Reason::NoInstance, {}};
    const Measurement measurement("home: request refused, key burned", count);
    for (const auto &key : keys) {
        const auto chosen = home.handle(requestOf(++waiter, key), Millis(1));
        const auto record = std::get<once::ChooseExecutor>(chosen.at(0)).record_;
        home.handle(once::NotChosen{record, refusal}, Millis(1));
    }
}

void measureExecutor(std::size_t count, std::size_t bodyBytes, bool isSettling)
{
    once::ExecutorSettings settings;
    settings.maxRecords_ = count;
    settings.maxAnswerBytes_ = count * (bodyBytes + 512) * 2;
    once::Executor executor(executorId, settings);
    const auto *name =
            isSettling ? "executor: run to its end, settled" : "executor: run to its end, kept";
    const Measurement measurement(name, count);
    for (std::uint64_t number = 1; number <= count; ++number) {
        const once::SubKey subKey{homeId, number, executorId};
        const auto settledBelow = isSettling ? number : 0;
        executor.handle(once::Delegated{number, subKey, settledBelow, Millis(500)}, Millis(1));
        executor.handle(once::Admitted{subKey}, Millis(1));
        executor.handle(once::BackendAnswered{subKey, makeAnswer(bodyBytes)}, Millis(1));
    }
}

void measureIdleHomes(std::size_t count)
{
    once::Executor executor(executorId, {});
    const Measurement measurement("executor: one home known, nothing kept", count);
    for (std::size_t i = 0; i < count; ++i) {
        const once::Incarnation home{"daemon-" + std::to_string(i) + ".vn-south-1", 1};
        const once::SubKey subKey{home, 1, executorId};
        executor.handle(once::OutcomeQueried{i, subKey},
                        Millis(static_cast<std::int64_t>(i) * 10'001));
    }
}

void measureRetry(std::size_t count)
{
    retry::ContextTable contexts(base::randomSecret());
    retry::Core core({}, contexts, 1);
    {
        const Measurement measurement("retry: call answered at the first attempt", count);
        for (retry::CallId call = 1; call <= count; ++call) {
            core.handle(retry::CallStarted{.call_ = call,
                                           .origin_ = retry::RootCall{2},
                                           .customer_ = customer,
                                           .requestClass_ = "redemption",
                                           .deadline_ = Millis(1000)},
                        Millis(1));
            core.handle(retry::AttemptEnded{.call_ = call, .attempt_ = 1}, Millis(2));
        }
    }
    const Measurement measurement("retry: context opened and closed", count);
    for (std::size_t i = 0; i < count; ++i)
        contexts.close(*contexts.open({.customer_ = customer}));
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("once-bench", "Time and memory of once-only and retry decisions");
    options.add_options()("operations", "operations of each kind",
                          cxxopts::value<std::size_t>()->default_value("60000"))(
            "body", "bytes of each answer's body",
            cxxopts::value<std::size_t>()->default_value("500"))("help", "print this text");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help() << '\n';
        return 0;
    }
    const auto count = std::max<std::size_t>(1, parsed["operations"].as<std::size_t>());
    const auto bodyBytes = parsed["body"].as<std::size_t>();
    measureKeys(count);
    measureHome(count, bodyBytes);
    measureRefusedRequests(count);
    measureExecutor(count, bodyBytes, false);
    measureExecutor(count, bodyBytes, true);
    measureIdleHomes(count);
    measureRetry(count);
    return 0;
}

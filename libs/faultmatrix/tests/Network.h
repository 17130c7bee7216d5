#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <Fault.h>
#include <VirtualTime.h>
#include <base/Random.h>
#include <once/HomeEvent.h>
#include <tl/expected.hpp>

using ProcessId = std::size_t;

/** Answer to a remote call. */
struct Response
{
    once::Outcome outcome_;
    bool isReplaced_ = false;                 ///< refused because another generation was addressed
    std::optional<std::uint32_t> budgetLeft_; ///< extra attempts that the callee did not use
};

using RemoteResult = tl::expected<Response, once::SendFailure>;
using Respond = std::function<void(Response)>;

/** A remote call and the points at which faults may be injected. */
struct RemoteCall
{
    ProcessId from_ = 0;
    ProcessId to_ = 0;
    std::optional<Point> request_;
    std::optional<Point> response_;
    base::Millis timeout_;
};

/**
 * Simulates processes and messages in virtual time and injects the planned faults.
 *
 * Every continuation of a process goes through passPoint(), so that the process can crash, pause or
 * slow down between a decision and its effect.
 */
class Network
{
public:
    static constexpr base::Millis messageDelay = base::Millis(1);
    static constexpr base::Millis restartDelay = base::Millis(200);
    static constexpr base::Millis slowDelay = base::Millis(700);
    static constexpr base::Millis pauseDuration = base::Millis(12'000); ///< past the keys' expiry
    static constexpr base::Millis lateDelay = base::Millis(10'000);
    static constexpr base::Millis partitionDuration = base::Millis(5'000);

    struct Process
    {
        std::size_t dataCentre_ = 0;
        std::uint64_t generation_ = 1;
        bool isUp_ = true;
        base::Millis pausedUntil_;
        std::vector<std::function<void()>> onCrash_; ///< notify waiting callers
        std::function<void()> restart_;
        std::function<void()> drain_;
        std::function<void()> coldStart_;
    };

    /** In addition to the planned faults, each step fails at random with the given probability. */
    Network(std::vector<Cell> plan, std::uint64_t seed, double randomFaultProbability)
        : plan_(std::move(plan))
        , random_(seed)
        , randomFaultProbability_(randomFaultProbability)
    {}

    VirtualTime time_;
    std::vector<Process> processes_;
    base::Millis logDownUntil_;
    std::size_t injectedFaults_ = 0; ///< planned faults that were injected

    base::Millis now() const { return time_.now(); }
    bool isLogDown() const { return now() < logDownUntil_; }
    bool isPartitioned(ProcessId a, ProcessId b) const
    {
        return now() < partitionedUntil_ && processes_[a].dataCentre_ != processes_[b].dataCentre_;
    }

    /** Runs the function in the process, delayed while it is paused; dropped if it has ended. */
    void inProcess(ProcessId id, base::Millis after, std::function<void()> function);

    /**
     * Runs the function after the faults of the point, unless a fault prevents it. Process faults
     * affect faultTarget if given: the process that the request is in transit to.
     */
    void passPoint(std::optional<Point> point, ProcessId id, std::function<void()> function,
                   std::optional<ProcessId> faultTarget = std::nullopt, bool isInTransit = false);

    /** Calls another process. The result is delivered once, unless the caller ends first. */
    void call(const RemoteCall &call, std::function<void(Respond)> handler,
              std::function<void(RemoteResult)> done);

    /** Ends a process immediately; it restarts after restartDelay unless isPermanent. */
    void crash(ProcessId id, bool isPermanent = false);

private:
    enum class Delivery { Intact, Lost, Truncated, Duplicated, Late };

    struct Arrival
    {
        bool isIntact_ = true;
        bool isOnlyCopy_ = true;
    };

    struct Exchange
    {
        bool isDone_ = false;
    };

    std::optional<Fault> takePlannedFault(std::optional<Point> point);
    std::optional<Fault> randomFault(std::optional<Point> point, bool isInTransit);
    void transmit(std::optional<Point> point, ProcessId from, ProcessId to,
                  std::function<void(Arrival)> deliver);
    void inGeneration(ProcessId id, std::uint64_t generation, base::Millis after,
                      std::function<void()> function);

    std::vector<Cell> plan_;
    base::Random random_;
    double randomFaultProbability_ = 0;
    base::Millis partitionedUntil_;
    bool isAnswerLossPending_ = false;
    std::size_t answerLossHop_ = 0;
    Delivery nextDelivery_ = Delivery::Intact; ///< of the message that passPoint() is about to send
};

inline void Network::inProcess(ProcessId id, base::Millis after, std::function<void()> function)
{
    inGeneration(id, processes_[id].generation_, after, std::move(function));
}

inline void Network::inGeneration(ProcessId id, std::uint64_t generation, base::Millis after,
                                  std::function<void()> function)
{
    time_.schedule(now() + after, [this, id, generation, function = std::move(function)] {
        const auto &process = processes_[id];
        if (!process.isUp_ || process.generation_ != generation)
            return;
        if (now() < process.pausedUntil_) {
            inGeneration(id, generation, process.pausedUntil_ - now(), function);
            return;
        }
        function();
    });
}

inline std::optional<Fault> Network::takePlannedFault(std::optional<Point> point)
{
    if (!point)
        return std::nullopt;
    const auto found = std::find_if(plan_.begin(), plan_.end(),
                                    [&](const Cell &cell) { return cell.point_ == *point; });
    if (found == plan_.end())
        return std::nullopt;
    const auto fault = found->fault_;
    plan_.erase(found);
    ++injectedFaults_;
    return fault;
}

inline std::optional<Fault> Network::randomFault(std::optional<Point> point, bool isInTransit)
{
    if (random_.unit() >= randomFaultProbability_)
        return std::nullopt;
    const auto step = point ? point->step_ : (isInTransit ? Step::ToExecutor : Step::Routed);
    const Cell cell{{step, 0}, static_cast<Fault>(random_.below(faultCount))};
    if (!inapplicableReason(cell).empty() || cell.fault_ == Fault::Drain)
        return std::nullopt;
    return cell.fault_;
}

inline void Network::passPoint(std::optional<Point> point, ProcessId id,
                               std::function<void()> function, std::optional<ProcessId> faultTarget,
                               bool isInTransit)
{
    if (!processes_[id].isUp_)
        return;
    auto &process = processes_[faultTarget.value_or(id)];
    auto fault = takePlannedFault(point);
    if (!fault && id < processes_.size() - 1)
        fault = randomFault(point, isInTransit);
    auto delivery = Delivery::Intact;
    auto after = base::Millis(0);
    if (fault == Fault::Crash)
        crash(faultTarget.value_or(id));
    if (!processes_[id].isUp_)
        return;
    if (fault == Fault::Pause)
        process.pausedUntil_ = now() + pauseDuration;
    if (fault == Fault::Slow)
        after = slowDelay;
    if (fault == Fault::LostMessage)
        delivery = Delivery::Lost;
    if (fault == Fault::Duplicate)
        delivery = Delivery::Duplicated;
    if (fault == Fault::Late)
        delivery = Delivery::Late;
    if (fault == Fault::Truncated)
        delivery = Delivery::Truncated;
    if (fault == Fault::Partition)
        partitionedUntil_ = now() + partitionDuration;
    if (fault == Fault::LogDown)
        logDownUntil_ = base::Millis::max();
    if (fault == Fault::AnswerLostAfterEffect && point) {
        isAnswerLossPending_ = true;
        answerLossHop_ = point->hop_;
    }
    if (fault == Fault::Drain && process.drain_)
        process.drain_();
    if (fault == Fault::ColdStart && process.coldStart_)
        process.coldStart_();
    const bool isAnswer = point && point->step_ >= Step::AnswerToExecutor;
    if (isAnswer && isAnswerLossPending_ && point->hop_ == answerLossHop_) {
        isAnswerLossPending_ = false;
        delivery = Delivery::Lost;
    }
    const auto proceed = [this, delivery, function = std::move(function)] {
        nextDelivery_ = delivery;
        function();
        nextDelivery_ = Delivery::Intact;
    };
    if (after == base::Millis(0) && now() >= processes_[id].pausedUntil_)
        proceed();
    else
        inProcess(id, after, proceed);
}

inline void Network::transmit(std::optional<Point> point, ProcessId from, ProcessId to,
                              std::function<void(Arrival)> deliver)
{
    const bool isToHome = point && point->step_ == Step::ToHome;
    const auto send = [this, from, to, deliver = std::move(deliver)] {
        const auto delivery = nextDelivery_;
        if (delivery == Delivery::Lost || isPartitioned(from, to))
            return;
        const Arrival arrival{delivery != Delivery::Truncated, delivery != Delivery::Duplicated};
        const auto arrive = [this, from, to, deliver, arrival] {
            if (!isPartitioned(from, to))
                deliver(arrival);
        };
        const auto jitter = base::Millis(static_cast<std::int64_t>(random_.below(4)));
        time_.schedule(now() + (delivery == Delivery::Late ? lateDelay : messageDelay + jitter),
                       arrive);
        if (delivery == Delivery::Duplicated)
            time_.schedule(now() + messageDelay * 20, arrive);
    };
    passPoint(point, from, send, isToHome ? to : from, true);
}

inline void Network::call(const RemoteCall &call, std::function<void(Respond)> handler,
                          std::function<void(RemoteResult)> done)
{
    const auto exchange = std::make_shared<Exchange>();
    const auto generation = processes_[call.from_].generation_;
    const auto finish = [this, call, generation, exchange, done](const RemoteResult &result) {
        inGeneration(call.from_, generation, base::Millis(0), [exchange, done, result] {
            if (std::exchange(exchange->isDone_, true))
                return;
            done(result);
        });
    };
    const auto respond = [this, call, finish](const Response &response) {
        transmit(call.response_, call.to_, call.from_, [finish, response](Arrival arrival) {
            if (arrival.isIntact_)
                finish(response);
            else
                finish(tl::unexpected(once::SendFailure::Lost));
        });
    };
    inProcess(call.from_, call.timeout_,
              [finish] { finish(tl::unexpected(once::SendFailure::Lost)); });
    transmit(call.request_, call.from_, call.to_, [=, this](Arrival arrival) {
        auto &target = processes_[call.to_];
        if (!target.isUp_) {
            finish(tl::unexpected(arrival.isOnlyCopy_ ? once::SendFailure::NotSent
                                                      : once::SendFailure::Lost));
            return;
        }
        if (!arrival.isIntact_) {
            finish(tl::unexpected(once::SendFailure::Lost));
            return;
        }
        target.onCrash_.push_back([finish] { finish(tl::unexpected(once::SendFailure::Lost)); });
        inProcess(call.to_, base::Millis(0), [handler, respond] { handler(respond); });
    });
}

inline void Network::crash(ProcessId id, bool isPermanent)
{
    auto &process = processes_[id];
    process.isUp_ = false;
    process.pausedUntil_ = base::Millis(0);
    ++process.generation_;
    for (const auto &notify : std::exchange(process.onCrash_, {}))
        time_.schedule(now() + messageDelay, notify);
    if (isPermanent)
        return;
    time_.schedule(now() + restartDelay, [this, id] {
        processes_[id].isUp_ = true;
        if (processes_[id].restart_)
            processes_[id].restart_();
    });
}

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
    bool isReplaced_ = false; ///< refused by another generation than the one meant
    std::optional<std::uint32_t> budgetLeft_;
};

using RemoteResult = tl::expected<Response, once::SendFailure>;
using Respond = std::function<void(Response)>;

/** A remote call and the points at which the matrix may disturb it. */
struct RemoteCall
{
    ProcessId from_ = 0;
    ProcessId to_ = 0;
    std::optional<Point> request_;
    std::optional<Point> response_;
    base::Millis timeout_;
};

/**
 * Processes and messages in virtual time, with the faults of the planned cells.
 *
 * Whatever a process does next goes through at(), so that it can crash, pause or be slow between a
 * decision and its consequence.
 */
class Network
{
public:
    static constexpr base::Millis delay = base::Millis(1);
    static constexpr base::Millis restartTime = base::Millis(200);
    static constexpr base::Millis slowTime = base::Millis(700);
    static constexpr base::Millis pauseTime = base::Millis(12'000); ///< past the keys' expiry
    static constexpr base::Millis lateTime = base::Millis(10'000);
    static constexpr base::Millis partitionTime = base::Millis(5'000);

    struct Process
    {
        std::size_t dataCentre_ = 0;
        std::uint64_t generation_ = 1;
        bool isUp_ = true;
        base::Millis pausedUntil_;
        std::vector<std::function<void()>> onCrash_; ///< callers that wait for it
        std::function<void()> restart_;
        std::function<void()> drain_;
        std::function<void()> coldStart_;
    };

    /** Besides the planned cells, each step goes wrong at random with the chance given. */
    Network(std::vector<Cell> plan, std::uint64_t seed, double chaos)
        : plan_(std::move(plan))
        , random_(seed)
        , chaos_(chaos)
    {}

    VirtualTime time_;
    std::vector<Process> processes_;
    base::Millis logDownUntil_;
    std::size_t fired_ = 0; ///< cells that took place

    base::Millis now() const { return time_.now(); }
    bool isLogDown() const { return now() < logDownUntil_; }

    /** Calls the function in the process unless that has ended by then; waits while paused. */
    void inProcess(ProcessId id, base::Millis after, std::function<void()> function);

    /**
     * Goes past a point: the function follows unless a fault prevents it. A fault of a process
     * strikes the one that has the request, which is another one while it is on the way there.
     */
    void at(std::optional<Point> point, ProcessId id, std::function<void()> function,
            std::optional<ProcessId> struck = std::nullopt, bool isMessage = false);

    /** Calls another process. The result comes once, unless the caller ends before. */
    void call(const RemoteCall &call, std::function<void(Respond)> handler,
              std::function<void(RemoteResult)> done);

    /** Ends a process at once; it restarts after a time unless it has ended for good. */
    void crash(ProcessId id, bool isForGood = false);

private:
    enum class Fate { Whole, Lost, Truncated, Twice, Late };

    struct Arrival
    {
        bool isWhole_ = true;
        bool isOnlyCopy_ = true;
    };

    struct Exchange
    {
        bool isDone_ = false;
    };

    bool isCut(ProcessId a, ProcessId b) const
    {
        return now() < partitionedUntil_ && processes_[a].dataCentre_ != processes_[b].dataCentre_;
    }
    std::optional<Fault> takeFault(std::optional<Point> point);
    std::optional<Fault> randomFault(std::optional<Point> point, bool isMessage);
    void transmit(std::optional<Point> point, ProcessId from, ProcessId to,
                  std::function<void(Arrival)> deliver);
    void inGeneration(ProcessId id, std::uint64_t generation, base::Millis after,
                      std::function<void()> function);

    std::vector<Cell> plan_;
    base::Random random_;
    double chaos_ = 0;
    base::Millis partitionedUntil_;
    bool isAnswerToBeLost_ = false;
    std::size_t hopOfLostAnswer_ = 0;
    Fate fate_ = Fate::Whole; ///< of the message that at() is about to send
};

inline void Network::inProcess(ProcessId id, base::Millis after, std::function<void()> function)
{
    inGeneration(id, processes_[id].generation_, after, std::move(function));
}

inline void Network::inGeneration(ProcessId id, std::uint64_t generation, base::Millis after,
                                  std::function<void()> function)
{
    time_.at(now() + after, [this, id, generation, function = std::move(function)] {
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

inline std::optional<Fault> Network::takeFault(std::optional<Point> point)
{
    if (!point)
        return std::nullopt;
    const auto found = std::find_if(plan_.begin(), plan_.end(),
                                    [&](const Cell &cell) { return cell.point_ == *point; });
    if (found == plan_.end())
        return std::nullopt;
    const auto fault = found->fault_;
    plan_.erase(found);
    ++fired_;
    return fault;
}

inline std::optional<Fault> Network::randomFault(std::optional<Point> point, bool isMessage)
{
    if (random_.unit() >= chaos_)
        return std::nullopt;
    const auto step = point ? point->step_ : (isMessage ? Step::Sent : Step::Routed);
    const Cell cell{{step, 0}, static_cast<Fault>(random_.below(faultCount))};
    if (!whyNot(cell).empty() || cell.fault_ == Fault::Drain)
        return std::nullopt;
    return cell.fault_;
}

inline void Network::at(std::optional<Point> point, ProcessId id, std::function<void()> function,
                        std::optional<ProcessId> struck, bool isMessage)
{
    if (!processes_[id].isUp_)
        return;
    auto &process = processes_[struck.value_or(id)];
    auto fault = takeFault(point);
    if (!fault && id < processes_.size() - 1)
        fault = randomFault(point, isMessage);
    auto fate = Fate::Whole;
    auto after = base::Millis(0);
    if (fault == Fault::Crash)
        crash(struck.value_or(id));
    if (!processes_[id].isUp_)
        return;
    if (fault == Fault::Pause)
        process.pausedUntil_ = now() + pauseTime;
    if (fault == Fault::Slow)
        after = slowTime;
    if (fault == Fault::LostMessage)
        fate = Fate::Lost;
    if (fault == Fault::Duplicate)
        fate = Fate::Twice;
    if (fault == Fault::Late)
        fate = Fate::Late;
    if (fault == Fault::Truncated)
        fate = Fate::Truncated;
    if (fault == Fault::Partition)
        partitionedUntil_ = now() + partitionTime;
    if (fault == Fault::LogDown)
        logDownUntil_ = base::Millis::max();
    if (fault == Fault::AnswerLostAfterEffect && point) {
        isAnswerToBeLost_ = true;
        hopOfLostAnswer_ = point->hop_;
    }
    if (fault == Fault::Drain && process.drain_)
        process.drain_();
    if (fault == Fault::ColdStart && process.coldStart_)
        process.coldStart_();
    const bool isAnswer = point && point->step_ >= Step::Answered;
    if (isAnswer && isAnswerToBeLost_ && point->hop_ == hopOfLostAnswer_) {
        isAnswerToBeLost_ = false;
        fate = Fate::Lost;
    }
    const auto follow = [this, fate, function = std::move(function)] {
        fate_ = fate;
        function();
        fate_ = Fate::Whole;
    };
    if (after == base::Millis(0) && now() >= processes_[id].pausedUntil_)
        follow();
    else
        inProcess(id, after, follow);
}

inline void Network::transmit(std::optional<Point> point, ProcessId from, ProcessId to,
                              std::function<void(Arrival)> deliver)
{
    const bool isReceived = point && point->step_ == Step::Received;
    const auto send = [this, from, to, deliver = std::move(deliver)] {
        const auto fate = fate_;
        if (fate == Fate::Lost || isCut(from, to))
            return;
        const Arrival arrival{fate != Fate::Truncated, fate != Fate::Twice};
        const auto arrive = [this, from, to, deliver, arrival] {
            if (!isCut(from, to))
                deliver(arrival);
        };
        const auto jitter = base::Millis(static_cast<std::int64_t>(random_.below(4)));
        time_.at(now() + (fate == Fate::Late ? lateTime : delay + jitter), arrive);
        if (fate == Fate::Twice)
            time_.at(now() + delay * 20, arrive);
    };
    at(point, from, send, isReceived ? to : from, true);
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
            if (arrival.isWhole_)
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
        if (!arrival.isWhole_) {
            finish(tl::unexpected(once::SendFailure::Lost));
            return;
        }
        target.onCrash_.push_back([finish] { finish(tl::unexpected(once::SendFailure::Lost)); });
        inProcess(call.to_, base::Millis(0), [handler, respond] { handler(respond); });
    });
}

inline void Network::crash(ProcessId id, bool isForGood)
{
    auto &process = processes_[id];
    process.isUp_ = false;
    process.pausedUntil_ = base::Millis(0);
    ++process.generation_;
    for (const auto &tell : std::exchange(process.onCrash_, {}))
        time_.at(now() + delay, tell);
    if (isForGood)
        return;
    time_.at(now() + restartTime, [this, id] {
        processes_[id].isUp_ = true;
        if (processes_[id].restart_)
            processes_[id].restart_();
    });
}

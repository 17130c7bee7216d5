#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <admission/Core.h>
#include <base/Random.h>

namespace admission::tests {

/** Poisson stream of requests of one rank and customer. */
struct Stream
{
    int rank_ = 0;
    std::string customer_;
    double perSecond_ = 0.0;
    base::Millis from_;
    base::Millis until_;
};

/** Counts of one rank and customer in one second. */
struct SecondCounts
{
    int arrived_ = 0;
    int completed_ = 0; ///< complete answers before the deadline
    int refusals_ = 0;
};

/**
 * Simulates one instance in virtual time: Poisson arrivals, exponential service times, callers that
 * retry up to three times. Uses admission, or a FIFO queue that ignores deadlines.
 */
class QueueingModel
{
public:
    struct Setup
    {
        bool hasAdmission_ = true;
        std::uint32_t slots_ = 20;
        double meanServiceMillis_ = 20.0;
        base::Millis deadline_ = base::Millis(1000);
        std::map<std::string, model::Customer> customers_;
        /** Factor on service times, by number of running requests and time. */
        std::function<double(std::size_t running, base::Millis now)> slowdown_;
        std::uint64_t seed_ = 1;
    };

    explicit QueueingModel(Setup setup)
        : setup_(std::move(setup))
        , random_(setup_.seed_)
    {
        core_.handle(Configured{setup_.slots_, setup_.customers_}, now_);
    }

    void add(const Stream &stream)
    {
        scheduleAt(stream.from_, [this, stream] { scheduleArrivals(stream); });
    }

    void run(base::Millis until)
    {
        if (setup_.hasAdmission_)
            tick(until);
        while (!schedule_.empty() && schedule_.top().time_ < until) {
            const ScheduledAction next = schedule_.top();
            schedule_.pop();
            now_ = next.time_;
            next.action_();
        }
    }

    /** Requests per second served with all slots in use. */
    double capacity() const { return 1000.0 * setup_.slots_ / setup_.meanServiceMillis_; }

    int completed(int rank, int fromSecond, int untilSecond, const std::string &customer = "")
    {
        int sum = 0;
        for (int second = fromSecond; second < untilSecond; ++second)
            sum += counts_[{rank, customer, second}].completed_;
        return sum;
    }

    int arrived(int rank, int fromSecond, int untilSecond, const std::string &customer)
    {
        int sum = 0;
        for (int second = fromSecond; second < untilSecond; ++second)
            sum += counts_[{rank, customer, second}].arrived_;
        return sum;
    }

    const SecondCounts &counts(int rank, int second) { return counts_[{rank, "", second}]; }
    const std::map<int, Level> &levels() const { return levels_; }
    const Core &core() const { return core_; }

private:
    struct Request
    {
        Stream stream_;
        base::Millis deadline_;
        int bucket_ = 0;
        int retriesLeft_ = 3;
        bool isCompleted_ = false;
    };

    using RequestPointer = std::shared_ptr<Request>;

    struct ScheduledAction
    {
        base::Millis time_;
        std::uint64_t sequence_ = 0;
        std::function<void()> action_;

        bool operator<(const ScheduledAction &other) const
        {
            return std::tie(other.time_, other.sequence_) < std::tie(time_, sequence_);
        }
    };

    void scheduleAt(base::Millis time, std::function<void()> action)
    {
        schedule_.push({time, nextSequence_++, std::move(action)});
    }

    base::Millis exponential(double meanMillis)
    {
        const double sample = -meanMillis * std::log(1.0 - random_.unit());
        return base::Millis::fromMicros(1 + static_cast<std::int64_t>(sample * 1000.0));
    }

    SecondCounts &countsOf(const Request &request)
    {
        const int second = static_cast<int>(now_.count() / 1000);
        return counts_[{request.stream_.rank_, request.stream_.customer_, second}];
    }

    void tick(base::Millis until)
    {
        execute(core_.handle(Tick{}, now_));
        levels_[static_cast<int>(now_.count() / 1000)] = core_.level();
        if (now_ < until)
            scheduleAt(now_ + base::Millis(50), [this, until] { tick(until); });
    }

    void scheduleArrivals(const Stream &stream)
    {
        if (now_ >= stream.until_)
            return;
        const auto request = std::make_shared<Request>(
                Request{.stream_ = stream,
                        .deadline_ = now_ + setup_.deadline_,
                        .bucket_ = static_cast<int>(random_.below(Priority::bucketCount))});
        ++countsOf(*request).arrived_;
        scheduleAt(request->deadline_, [this, request] { handleTimeout(request); });
        submitAttempt(request);
        scheduleAt(now_ + exponential(1000.0 / stream.perSecond_),
                   [this, stream] { scheduleArrivals(stream); });
    }

    void submitAttempt(const RequestPointer &request)
    {
        const RequestId id = nextId_++;
        attempts_[id] = request;
        if (!setup_.hasAdmission_) {
            fifo_.push(id);
            return startFromFifo();
        }
        execute(core_.handle(Arrived{id,
                                     {.rank_ = request->stream_.rank_, .bucket_ = request->bucket_},
                                     request->stream_.customer_,
                                     "class" + std::to_string(request->stream_.rank_),
                                     request->deadline_},
                             now_));
    }

    void startFromFifo()
    {
        while (running_ < setup_.slots_ && !fifo_.empty()) {
            start(fifo_.front());
            fifo_.pop();
        }
    }

    // The caller times out and, without admission, retries at once with a new deadline.
    void handleTimeout(const RequestPointer &request)
    {
        if (request->isCompleted_ || setup_.hasAdmission_ || request->retriesLeft_ == 0)
            return;
        --request->retriesLeft_;
        request->deadline_ = now_ + setup_.deadline_;
        scheduleAt(request->deadline_, [this, request] { handleTimeout(request); });
        submitAttempt(request);
    }

    void execute(const std::vector<Command> &commands)
    {
        for (const Command &command : commands) {
            if (const auto *startCommand = std::get_if<Start>(&command))
                start(startCommand->id_);
            else
                handleRefusal(std::get<Refuse>(command));
        }
    }

    void handleRefusal(const Refuse &refusal)
    {
        const RequestPointer request = attempts_.at(refusal.id_);
        attempts_.erase(refusal.id_);
        ++countsOf(*request).refusals_;
        const base::Millis retryAt = now_ + refusal.retryAfter_;
        if (request->retriesLeft_-- > 0 && retryAt < request->deadline_)
            scheduleAt(retryAt, [this, request] { submitAttempt(request); });
    }

    void start(RequestId id)
    {
        ++running_;
        const double factor = setup_.slowdown_ ? setup_.slowdown_(running_, now_) : 1.0;
        const base::Millis serviceTime = exponential(setup_.meanServiceMillis_ * factor);
        scheduleAt(now_ + serviceTime, [this, id, serviceTime] { finishRequest(id, serviceTime); });
    }

    void finishRequest(RequestId id, base::Millis serviceTime)
    {
        --running_;
        const RequestPointer request = attempts_.at(id);
        attempts_.erase(id);
        if (!request->isCompleted_ && now_ < request->deadline_) {
            request->isCompleted_ = true;
            ++countsOf(*request).completed_;
        }
        if (setup_.hasAdmission_)
            execute(core_.handle(Finished{id, Outcome::Ok, serviceTime}, now_));
        else
            startFromFifo();
    }

    Setup setup_;
    Core core_;
    base::Random random_;
    base::Millis now_ = base::Millis(1);
    std::priority_queue<ScheduledAction> schedule_;
    std::uint64_t nextSequence_ = 0;
    RequestId nextId_ = 1;
    std::map<RequestId, RequestPointer> attempts_;
    std::queue<RequestId> fifo_;
    std::size_t running_ = 0;
    std::map<std::tuple<int, std::string, int>, SecondCounts> counts_;
    std::map<int, Level> levels_;
};

} // namespace admission::tests

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

/** A stream of requests of one rank and customer. */
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
    int completed_ = 0; ///< whole answers before the deadline
    int refusals_ = 0;
};

/**
 * One instance with its slots, in virtual time: Poisson arrivals, exponential service, callers that
 * retry up to three times. With admission, or with a plain FIFO queue that knows no deadline.
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
        /** Factor on service times, by the number of running requests and the time. */
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
        at(stream.from_, [this, stream] { arrivals(stream); });
    }

    void run(base::Millis until)
    {
        if (setup_.hasAdmission_)
            tick(until);
        while (!agenda_.empty() && agenda_.top().at_ < until) {
            const Entry next = agenda_.top();
            agenda_.pop();
            now_ = next.at_;
            next.action_();
        }
    }

    /** Requests per second that all slots together can serve. */
    double capacity() const { return 1000.0 * setup_.slots_ / setup_.meanServiceMillis_; }

    int completed(int rank, int fromSecond, int untilSecond, const std::string &customer = "")
    {
        int sum = 0;
        for (int second = fromSecond; second < untilSecond; ++second)
            sum += counts_[{rank, customer, second}].completed_;
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
        bool isDone_ = false;
    };

    using RequestPointer = std::shared_ptr<Request>;

    struct Entry
    {
        base::Millis at_;
        std::uint64_t sequence_ = 0;
        std::function<void()> action_;

        bool operator<(const Entry &other) const
        {
            return std::tie(other.at_, other.sequence_) < std::tie(at_, sequence_);
        }
    };

    void at(base::Millis time, std::function<void()> action)
    {
        agenda_.push({time, nextSequence_++, std::move(action)});
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
        apply(core_.handle(Tick{}, now_));
        levels_[static_cast<int>(now_.count() / 1000)] = core_.level();
        if (now_ < until)
            at(now_ + base::Millis(50), [this, until] { tick(until); });
    }

    void arrivals(const Stream &stream)
    {
        if (now_ >= stream.until_)
            return;
        const auto request = std::make_shared<Request>(
                Request{.stream_ = stream,
                        .deadline_ = now_ + setup_.deadline_,
                        .bucket_ = static_cast<int>(random_.below(Priority::bucketCount))});
        ++countsOf(*request).arrived_;
        at(request->deadline_, [this, request] { timeOut(request); });
        attempt(request);
        at(now_ + exponential(1000.0 / stream.perSecond_), [this, stream] { arrivals(stream); });
    }

    void attempt(const RequestPointer &request)
    {
        const RequestId id = nextId_++;
        attempts_[id] = request;
        if (!setup_.hasAdmission_) {
            fifo_.push(id);
            return startFromFifo();
        }
        apply(core_.handle(Arrived{id,
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

    // The caller gives up, and without admission tries again at once with a new deadline.
    void timeOut(const RequestPointer &request)
    {
        if (request->isDone_ || setup_.hasAdmission_ || request->retriesLeft_ == 0)
            return;
        --request->retriesLeft_;
        request->deadline_ = now_ + setup_.deadline_;
        at(request->deadline_, [this, request] { timeOut(request); });
        attempt(request);
    }

    void apply(const std::vector<Command> &commands)
    {
        for (const Command &command : commands) {
            if (const auto *startCommand = std::get_if<Start>(&command))
                start(startCommand->id_);
            else
                refused(std::get<Refuse>(command));
        }
    }

    void refused(const Refuse &refusal)
    {
        const RequestPointer request = attempts_.at(refusal.id_);
        attempts_.erase(refusal.id_);
        ++countsOf(*request).refusals_;
        const base::Millis again = now_ + refusal.retryAfter_;
        if (request->retriesLeft_-- > 0 && again < request->deadline_)
            at(again, [this, request] { attempt(request); });
    }

    void start(RequestId id)
    {
        ++running_;
        const double factor = setup_.slowdown_ ? setup_.slowdown_(running_, now_) : 1.0;
        const base::Millis time = exponential(setup_.meanServiceMillis_ * factor);
        at(now_ + time, [this, id, time] { finish(id, time); });
    }

    void finish(RequestId id, base::Millis time)
    {
        --running_;
        const RequestPointer request = attempts_.at(id);
        attempts_.erase(id);
        if (!request->isDone_ && now_ < request->deadline_) {
            request->isDone_ = true;
            ++countsOf(*request).completed_;
        }
        if (setup_.hasAdmission_)
            apply(core_.handle(Finished{id, Outcome::Ok, time}, now_));
        else
            startFromFifo();
    }

    Setup setup_;
    Core core_;
    base::Random random_;
    base::Millis now_ = base::Millis(1);
    std::priority_queue<Entry> agenda_;
    std::uint64_t nextSequence_ = 0;
    RequestId nextId_ = 1;
    std::map<RequestId, RequestPointer> attempts_;
    std::queue<RequestId> fifo_;
    std::size_t running_ = 0;
    std::map<std::tuple<int, std::string, int>, SecondCounts> counts_;
    std::map<int, Level> levels_;
};

} // namespace admission::tests

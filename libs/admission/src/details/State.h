#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <admission/Command.h>
#include <admission/Event.h>
#include <admission/Level.h>
#include <admission/LevelController.h>
#include <admission/Options.h>
#include <details/ConcurrencyLimit.h>
#include <details/Customers.h>
#include <details/RefusalPattern.h>
#include <details/ServiceTimes.h>
#include <details/WaitQueue.h>

namespace admission::details {

/** Implementation of admission::Core. */
class State
{
public:
    explicit State(const Options &options);

    std::vector<Command> handle(const Event &event, base::Millis now);

    Level level() const { return levelController_.level(); }
    Level level(std::string_view customer) const;
    std::uint32_t limit() const { return limit_.value(); }
    std::size_t running() const { return running_.size(); }
    std::size_t queued() const { return queue_.size(); }
    std::size_t queued(int rank) const { return queue_.size(rank); }

private:
    struct RunningRequest
    {
        CustomerIndex customer_ = 0;
        ClassIndex requestClass_ = 0;
        base::Millis startedAt_;
    };

    void on(const Arrived &event);
    void on(const Finished &event);
    void on(const Cancelled &event);
    void on(const Configured &event);
    void on(const Tick &) {}
    void on(const LoadReported &event);
    void on(const ProcessorBusy &event);

    void closeWindows();
    void closeWindow();
    void refuseExpired();
    void dispatch();
    bool dispatchBand(int band);
    void trimQueue();
    void endRequest(RequestId id, Outcome outcome, base::Millis serviceTime);
    void start(RequestId id);
    void shed(RequestId id);
    void refuse(RequestId id, RefusalReason reason);

    bool canFinish(ClassIndex requestClass, base::Millis deadline) const;
    std::size_t queueCapacity() const;
    std::size_t limitForRank(int rank) const;
    base::Millis retryAfter() const;

    Options options_;
    Customers customers_;
    ServiceTimes serviceTimes_;
    ConcurrencyLimit limit_;
    RefusalPattern refusals_;
    LevelController levelController_;
    WaitQueue queue_;
    std::unordered_map<RequestId, RunningRequest> running_;
    std::array<base::Millis, Priority::lowestRank + 1> lastArrivals_;

    std::uint32_t slots_ = 0;
    std::uint64_t nextSequence_ = 0;
    base::Millis now_;
    base::Millis windowEnd_;
    base::Millis windowQueueDelay_; ///< sum over the requests started in this window
    base::Millis windowService_;    ///< sum of their expected service times; not read
    std::size_t windowStarts_ = 0;
    bool windowExpired_ = false;
    bool windowBackendShed_ = false;
    bool windowProcessorBusy_ = false;
    bool windowLimitReached_ = false;
    bool isOverloaded_ = false;
    bool isReportedFull_ = false;
    int overloadedWindows_ = 0;
    std::vector<Command> commands_;
};

} // namespace admission::details

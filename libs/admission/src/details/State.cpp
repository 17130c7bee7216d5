#include <details/State.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace admission::details {

namespace {

constexpr base::Millis minRetryAfter = base::Millis(100);
constexpr base::Millis maxRetryAfter = base::Millis(5000);
constexpr base::Millis customerShedRetention = base::Millis(1000);
constexpr std::size_t minQueueCapacity = 16;
// From here on the queue has one place per slot: bursts grow more slowly than the number of slots.
constexpr std::size_t mediumQueueCapacity = 40;
constexpr std::size_t minLimitForHeadroom = 5;
constexpr int maxWindowsClosedAtOnce = 64;

} // namespace

State::State(const Options &options)
    : options_(options)
{
    lastArrivals_.fill(base::Millis(0) - base::Millis::max());
}

std::vector<Command> State::handle(const Event &event, base::Millis now)
{
    now_ = std::max(now_, now);
    closeWindows();
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    refuseExpired();
    dispatch();
    trimQueue();
    return std::exchange(commands_, {});
}

Level State::level(std::string_view customer) const
{
    const bool isShed =
            now_ - customers_.lastShed(customers_.indexOf(customer)) < customerShedRetention;
    return isShed ? levelController_.level() : levelController_.level().wholeRank();
}

void State::on(const Arrived &event)
{
    levelController_.recordArrival(event.priority_);
    lastArrivals_[event.priority_.rank_] = now_;
    const CustomerIndex customer = customers_.indexOf(event.customer_);
    const ClassIndex requestClass = serviceTimes_.indexOf(event.requestClass_);
    if (slots_ == 0)
        return refuse(event.id_, RefusalReason::NotServing);
    if (!canFinish(requestClass, event.deadline_))
        return refuse(event.id_, RefusalReason::CannotFinish);
    if (customers_.isBacklogFull(customer))
        return refuse(event.id_, RefusalReason::CustomerLimit);
    queue_.push({event.id_, event.priority_, customer, requestClass, event.deadline_, now_,
                 nextSequence_++});
    customers_.recordEnqueued(customer);
}

void State::on(const Finished &event)
{
    endRequest(event.id_, event.outcome_, event.serviceTime_);
}

void State::on(const Cancelled &event)
{
    if (queue_.contains(event.id_)) {
        customers_.recordDequeued(queue_.remove(event.id_).customer_);
        return;
    }
    if (const auto found = running_.find(event.id_); found != running_.end())
        endRequest(event.id_, Outcome::Cancelled, now_ - found->second.startedAt_);
}

void State::on(const Configured &event)
{
    customers_.configure(event.customers_);
    limit_.setSlots(event.slots_);
    serviceTimes_.setSlots(event.slots_);
    slots_ = event.slots_;
}

void State::on(const LoadReported &event)
{
    isReportedFull_ = event.utilisation_ >= 1.0;
}

void State::on(const ProcessorBusy &)
{
    windowProcessorBusy_ = true;
}

void State::endRequest(RequestId id, Outcome outcome, base::Millis serviceTime)
{
    const auto found = running_.find(id);
    if (found == running_.end())
        return;
    const RunningRequest ended = found->second;
    refusals_.record(outcome == Outcome::Shed, 2 * running_.size() > slots_);
    running_.erase(found);
    customers_.recordEnd(ended.customer_);
    switch (outcome) {
    case Outcome::Ok:
        serviceTimes_.recordCompletion(ended.requestClass_, serviceTime);
        break;
    case Outcome::Cancelled:
        serviceTimes_.recordCancellation(ended.requestClass_, serviceTime);
        break;
    case Outcome::Shed:
        windowBackendShed_ = true;
        break;
    case Outcome::Failed:
        break;
    }
}

void State::closeWindows()
{
    if (windowEnd_ == base::Millis())
        windowEnd_ = now_ + options_.window_;
    for (int i = 0; i < maxWindowsClosedAtOnce && now_ >= windowEnd_; ++i) {
        closeWindow();
        windowEnd_ = windowEnd_ + options_.window_;
    }
    if (now_ >= windowEnd_)
        windowEnd_ = now_ + options_.window_;
}

void State::closeWindow()
{
    const auto starts = static_cast<std::int64_t>(windowStarts_);
    isOverloaded_ = windowExpired_
                    || (starts > 0 && windowQueueDelay_ / starts > options_.maxQueueDelay_)
                    || (starts == 0 && queue_.size() > 0);
    levelController_.closeWindow(isOverloaded_ || windowProcessorBusy_);
    if (windowProcessorBusy_)
        customers_.recordShedForAll(now_);
    overloadedWindows_ = isOverloaded_ ? overloadedWindows_ + 1 : 0;
    const ConcurrencyLimit::Window window = {
            .served_ = serviceTimes_.closeWindow(!windowLimitReached_),
            .hasShed_ = windowBackendShed_ && refusals_.isLoadDependent(),
            .wasLimitReached_ = windowLimitReached_,
            .isReportedFull_ = isReportedFull_};
    limit_.closeWindow(window);
    refusals_.closeWindow();
    windowQueueDelay_ = base::Millis();
    windowService_ = base::Millis();
    windowStarts_ = 0;
    windowExpired_ = false;
    windowBackendShed_ = false;
    windowProcessorBusy_ = false;
    windowLimitReached_ = queue_.size() > 0;
    isReportedFull_ = false;
}

void State::refuseExpired()
{
    while (const WaitingRequest *first = queue_.earliestDeadline()) {
        if (canFinish(first->requestClass_, first->deadline_))
            return;
        windowExpired_ = true;
        refuse(first->id_, RefusalReason::CannotFinish);
    }
}

void State::dispatch()
{
    for (int band = 0; band < WaitQueue::bandCount; ++band) {
        if (!dispatchBand(band))
            return;
    }
}

// Returns whether a worse band may start requests: false if requests of this band remain queued
// for lack of a slot.
bool State::dispatchBand(int band)
{
    const std::size_t limit = limitForRank(WaitQueue::rankOf(band));
    while (const WaitingRequest *next = queue_.best(band, customers_, isOverloaded_)) {
        if (running_.size() >= limit) {
            windowLimitReached_ = true;
            return false;
        }
        if (canFinish(next->requestClass_, next->deadline_)) {
            start(next->id_);
            continue;
        }
        windowExpired_ = true;
        refuse(next->id_, RefusalReason::CannotFinish);
    }
    return true;
}

void State::trimQueue()
{
    while (queue_.size() > queueCapacity()) {
        const WaitingRequest *worst = queue_.worst(customers_, isOverloaded_);
        if (customers_.isAtLimit(worst->customer_))
            refuse(worst->id_, RefusalReason::CustomerLimit);
        else
            shed(worst->id_);
    }
}

void State::start(RequestId id)
{
    const WaitingRequest waiting = queue_.remove(id);
    customers_.recordDequeued(waiting.customer_);
    const base::Millis expected = serviceTimes_.expected(waiting.requestClass_);
    customers_.recordStart(waiting.customer_, expected);
    levelController_.recordStart();
    windowQueueDelay_ = windowQueueDelay_ + (now_ - waiting.arrivedAt_);
    windowService_ = windowService_ + expected;
    ++windowStarts_;
    running_.emplace(id, RunningRequest{waiting.customer_, waiting.requestClass_, now_});
    commands_.emplace_back(Start{id});
}

void State::shed(RequestId id)
{
    const WaitingRequest waiting = queue_.remove(id);
    customers_.recordDequeued(waiting.customer_);
    customers_.recordShed(waiting.customer_, now_);
    levelController_.recordShed(waiting.priority_);
    commands_.emplace_back(Refuse{id, RefusalReason::Overloaded, retryAfter()});
}

void State::refuse(RequestId id, RefusalReason reason)
{
    if (queue_.contains(id)) {
        const WaitingRequest waiting = queue_.remove(id);
        customers_.recordDequeued(waiting.customer_);
        // The request expired in the queue: callers must receive the same level as after a shed.
        customers_.recordShed(waiting.customer_, now_);
    }
    commands_.emplace_back(Refuse{id, reason, retryAfter()});
}

bool State::canFinish(ClassIndex requestClass, base::Millis deadline) const
{
    const base::Millis expected = serviceTimes_.expected(requestClass);
    return now_ < deadline && now_ + expected <= deadline;
}

std::size_t State::queueCapacity() const
{
    if (slots_ == 0)
        return 0;
    const std::size_t maxCapacity = std::max<std::size_t>(mediumQueueCapacity, slots_);
    return std::max(minQueueCapacity, std::min(options_.queuePerSlot_ * slots_, maxCapacity));
}

std::size_t State::limitForRank(int rank) const
{
    const std::size_t limit = limit_.value();
    const auto isRecent = [this](base::Millis arrivedAt) {
        return now_ - arrivedAt < options_.rankRetention_;
    };
    if (limit < minLimitForHeadroom
        || std::none_of(lastArrivals_.begin(), lastArrivals_.begin() + rank, isRecent))
        return limit;
    const auto reserved =
            static_cast<std::size_t>(std::ceil(options_.headroom_ * static_cast<double>(limit)));
    return limit - reserved;
}

base::Millis State::retryAfter() const
{
    const base::Millis doubled = minRetryAfter * (1 + std::min(overloadedWindows_, 50));
    return std::min(doubled, maxRetryAfter);
}

} // namespace admission::details

#include <details/State.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace admission::details {

namespace {

constexpr base::Millis shortestRetryAfter = base::Millis(100);
constexpr base::Millis longestRetryAfter = base::Millis(5000);
constexpr base::Millis customerShedMemory = base::Millis(1000);
constexpr std::size_t shortestQueue = 16;
// Beyond this a queue is as long as the slots are many: bursts grow less than the slots.
constexpr std::size_t queueOfMediumServer = 40;
constexpr std::size_t fewestWithHeadroom = 5;
constexpr int idleWindowsClosed = 64;

} // namespace

State::State(const Options &options)
    : options_(options)
{
    lastSeen_.fill(base::Millis(0) - base::Millis::max());
}

std::vector<Command> State::handle(const Event &event, base::Millis now)
{
    now_ = std::max(now_, now);
    closeWindows();
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    expire();
    dispatch();
    trim();
    return std::exchange(commands_, {});
}

Level State::level(std::string_view customer) const
{
    const bool isShed =
            now_ - customers_.lastShed(customers_.indexOf(customer)) < customerShedMemory;
    return isShed ? levels_.level() : levels_.level().wholeRank();
}

void State::on(const Arrived &event)
{
    levels_.noteArrived(event.priority_);
    lastSeen_[event.priority_.rank_] = now_;
    const CustomerIndex customer = customers_.indexOf(event.customer_);
    const ClassIndex requestClass = times_.indexOf(event.requestClass_);
    if (slots_ == 0)
        return refuse(event.id_, RefusalReason::NotServing);
    if (!canFinish(requestClass, event.deadline_))
        return refuse(event.id_, RefusalReason::CannotFinish);
    if (customers_.isBacklogFull(customer))
        return refuse(event.id_, RefusalReason::CustomerLimit);
    queue_.push({event.id_, event.priority_, customer, requestClass, event.deadline_, now_,
                 nextSequence_++});
    customers_.noteQueued(customer);
}

void State::on(const Finished &event)
{
    end(event.id_, event.outcome_, event.serviceTime_);
}

void State::on(const Cancelled &event)
{
    if (queue_.contains(event.id_)) {
        customers_.noteLeftQueue(queue_.remove(event.id_).customer_);
        return;
    }
    if (const auto found = running_.find(event.id_); found != running_.end())
        end(event.id_, Outcome::Cancelled, now_ - found->second.startedAt_);
}

void State::on(const Configured &event)
{
    customers_.configure(event.customers_);
    limit_.setSlots(event.slots_);
    slots_ = event.slots_;
}

void State::on(const LoadReported &event)
{
    isReportedFull_ = event.utilisation_ >= 1.0;
}

void State::on(const ProcessorBusy &)
{
    windowBusy_ = true;
}

void State::end(RequestId id, Outcome outcome, base::Millis serviceTime)
{
    const auto found = running_.find(id);
    if (found == running_.end())
        return;
    const Running ended = found->second;
    running_.erase(found);
    customers_.noteEnded(ended.customer_);
    switch (outcome) {
    case Outcome::Ok:
        times_.noteServed(ended.requestClass_, serviceTime);
        break;
    case Outcome::Cancelled:
        times_.noteCutShort(ended.requestClass_, serviceTime);
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
    for (int i = 0; i < idleWindowsClosed && now_ >= windowEnd_; ++i) {
        closeWindow();
        windowEnd_ = windowEnd_ + options_.window_;
    }
    if (now_ >= windowEnd_)
        windowEnd_ = now_ + options_.window_;
}

void State::closeWindow()
{
    const auto starts = static_cast<std::int64_t>(windowStarts_);
    isLate_ = windowExpired_ || (starts > 0 && windowWait_ / starts > options_.lateAfter_)
              || (starts == 0 && queue_.size() > 0);
    levels_.closeWindow(isLate_ || windowBusy_);
    if (windowBusy_)
        customers_.noteAllShed(now_);
    overloadedWindows_ = isLate_ ? overloadedWindows_ + 1 : 0;
    const ConcurrencyLimit::Window window = {.served_ = times_.closeWindow(!windowBound_),
                                             .hasShed_ = windowBackendShed_,
                                             .wasBound_ = windowBound_,
                                             .isReportedFull_ = isReportedFull_};
    limit_.closeWindow(window);
    windowWait_ = base::Millis();
    windowService_ = base::Millis();
    windowStarts_ = 0;
    windowExpired_ = false;
    windowBackendShed_ = false;
    windowBusy_ = false;
    windowBound_ = queue_.size() > 0;
    isReportedFull_ = false;
}

void State::expire()
{
    while (const Waiting *first = queue_.earliestDeadline()) {
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

// Returns whether a worse band may start requests: no slot is left when this one still waits.
bool State::dispatchBand(int band)
{
    const std::size_t limit = limitOf(WaitQueue::rankOf(band));
    while (const Waiting *next = queue_.best(band, customers_, isLate_)) {
        if (running_.size() >= limit) {
            windowBound_ = true;
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

void State::trim()
{
    while (queue_.size() > capacity()) {
        const Waiting *worst = queue_.worst(customers_, isLate_);
        if (customers_.isAtLimit(worst->customer_))
            refuse(worst->id_, RefusalReason::CustomerLimit);
        else
            shed(worst->id_);
    }
}

void State::start(RequestId id)
{
    const Waiting waiting = queue_.remove(id);
    customers_.noteLeftQueue(waiting.customer_);
    const base::Millis expected = times_.expected(waiting.requestClass_);
    customers_.noteStarted(waiting.customer_, expected);
    levels_.noteStarted();
    windowWait_ = windowWait_ + (now_ - waiting.arrivedAt_);
    windowService_ = windowService_ + expected;
    ++windowStarts_;
    running_.emplace(id, Running{waiting.customer_, waiting.requestClass_, now_});
    commands_.emplace_back(Start{id});
}

void State::shed(RequestId id)
{
    const Waiting waiting = queue_.remove(id);
    customers_.noteLeftQueue(waiting.customer_);
    customers_.noteShed(waiting.customer_, now_);
    levels_.noteShed(waiting.priority_);
    commands_.emplace_back(Refuse{id, RefusalReason::Overloaded, retryAfter()});
}

void State::refuse(RequestId id, RefusalReason reason)
{
    if (queue_.contains(id)) {
        const Waiting waiting = queue_.remove(id);
        customers_.noteLeftQueue(waiting.customer_);
        // It waited for longer than it could: callers have to know the level as after a shed.
        customers_.noteShed(waiting.customer_, now_);
    }
    commands_.emplace_back(Refuse{id, reason, retryAfter()});
}

bool State::canFinish(ClassIndex requestClass, base::Millis deadline) const
{
    const base::Millis expected = times_.expected(requestClass);
    return now_ < deadline && now_ + expected <= deadline;
}

std::size_t State::capacity() const
{
    if (slots_ == 0)
        return 0;
    const std::size_t most = std::max<std::size_t>(queueOfMediumServer, slots_);
    return std::max(shortestQueue, std::min(options_.queuePerSlot_ * slots_, most));
}

std::size_t State::limitOf(int rank) const
{
    const std::size_t limit = limit_.value();
    const auto isRecent = [this](base::Millis seen) {
        return now_ - seen < options_.rankMemory_;
    };
    if (limit < fewestWithHeadroom
        || std::none_of(lastSeen_.begin(), lastSeen_.begin() + rank, isRecent))
        return limit;
    const auto kept =
            static_cast<std::size_t>(std::ceil(options_.headroom_ * static_cast<double>(limit)));
    return limit - kept;
}

base::Millis State::retryAfter() const
{
    const base::Millis doubled = shortestRetryAfter * (1 + std::min(overloadedWindows_, 50));
    return std::min(doubled, longestRetryAfter);
}

} // namespace admission::details

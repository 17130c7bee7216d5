#include <net/Reactor.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Thread.h>
#include <ace/Time_Value.h>
#include <base/Clock.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace net {

namespace {

/** Wakes the loop; the posted functions themselves are run by the loop. */
class WakeUpHandler : public ACE_Event_Handler
{
public:
    int handle_exception(ACE_HANDLE) override { return 0; }
};

/** The reactor waits in whole milliseconds; the alarm ends a wait in between. */
class Alarm : public ACE_Event_Handler
{
public:
    Alarm()
        : clock_(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
    {}

    ~Alarm() override { ::close(clock_); }

    ACE_HANDLE get_handle() const override { return clock_; }

    int handle_input(ACE_HANDLE) override
    {
        std::uint64_t expirations = 0;
        [[maybe_unused]] const auto count = ::read(clock_, &expirations, sizeof(expirations));
        return 0;
    }

    /** Wakes the loop after less than a second. */
    void set(base::Millis delay)
    {
        itimerspec time = {};
        time.it_value.tv_nsec = delay.micros() * 1000;
        ::timerfd_settime(clock_, 0, &time, nullptr);
    }

private:
    int clock_;
};

/** Timers that are due later than this may be late by up to a millisecond. */
constexpr base::Millis preciseWithin(16);

constexpr base::Millis oneMillisecond(1);

/** Longest time that the loop waits when no timer is due. */
constexpr base::Millis longestWait(1000);

} // namespace

struct Reactor::Impl
{
    Impl()
        : ace_(new ACE_Dev_Poll_Reactor(), true)
    {
        ace_.register_handler(&alarm_, ACE_Event_Handler::READ_MASK);
    }

    ~Impl()
    {
        ace_.remove_handler(&alarm_, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
    }

    using TimerKey = std::pair<base::Millis, TimerId>;

    // The handlers outlive the reactor, whose destructor looks at pending notifications.
    WakeUpHandler wakeUp_;
    Alarm alarm_;
    ACE_Reactor ace_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::thread::id> owner_ = std::thread::id();

    std::mutex mutex_; ///< guards foreign_ only
    std::vector<std::function<void()>> foreign_;
    std::atomic<bool> hasForeign_ = false; ///< saves the lock in most turns
    std::vector<std::function<void()>> local_;

    std::map<TimerKey, std::function<void()>> timers_;
    std::unordered_map<TimerId, base::Millis> timerDue_;
    TimerId nextTimer_ = 1;

    void runPosted();
    void runTimers();
    base::Millis untilNextTimer() const;
    base::Millis wholeWait(base::Millis wait);
    void turn(base::Millis longest);
};

void Reactor::Impl::runPosted()
{
    if (hasForeign_.exchange(false)) {
        const std::lock_guard lock(mutex_);
        for (auto &function : foreign_)
            local_.push_back(std::move(function));
        foreign_.clear();
    }
    while (!local_.empty()) {
        const auto batch = std::exchange(local_, {});
        for (const auto &function : batch)
            function();
    }
}

void Reactor::Impl::runTimers()
{
    const auto now = base::monotonicNow();
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
        auto node = timers_.extract(timers_.begin());
        timerDue_.erase(node.key().second);
        node.mapped()();
    }
}

base::Millis Reactor::Impl::untilNextTimer() const
{
    if (timers_.empty())
        return longestWait;
    const auto wait = timers_.begin()->first.first - base::monotonicNow();
    return std::clamp(wait, base::Millis(0), longestWait);
}

// The reactor cuts off fractions of a millisecond, and would poll through the last one.
base::Millis Reactor::Impl::wholeWait(base::Millis wait)
{
    if (wait >= preciseWithin)
        return base::Millis((wait + base::Millis::fromMicros(999)).count());
    if (wait >= oneMillisecond || wait <= base::Millis(0))
        return base::Millis(wait.count());
    alarm_.set(wait);
    return oneMillisecond;
}

void Reactor::Impl::turn(base::Millis longest)
{
    const auto wait = std::min(longest, untilNextTimer());
    const auto micros = wholeWait(wait).micros();
    ACE_Time_Value timeout(micros / 1'000'000, micros % 1'000'000);
    ace_.handle_events(timeout);
    runTimers();
    runPosted();
}

Reactor::Reactor()
    : impl_(std::make_unique<Impl>())
{}

Reactor::~Reactor() = default;

void Reactor::run()
{
    impl_->owner_ = std::this_thread::get_id();
    impl_->ace_.owner(ACE_Thread::self());
    impl_->runPosted();
    while (!impl_->stopping_)
        impl_->turn(longestWait);
}

void Reactor::runFor(base::Millis time)
{
    impl_->owner_ = std::this_thread::get_id();
    impl_->ace_.owner(ACE_Thread::self());
    impl_->runPosted();
    const auto end = base::monotonicNow() + time;
    while (!impl_->stopping_) {
        const auto left = end - base::monotonicNow();
        if (left <= base::Millis(0))
            return;
        impl_->turn(left);
    }
}

void Reactor::stop()
{
    impl_->stopping_ = true;
    impl_->ace_.notify(&impl_->wakeUp_);
}

void Reactor::post(std::function<void()> function)
{
    if (impl_->owner_.load() == std::this_thread::get_id()) {
        impl_->local_.push_back(std::move(function));
        return;
    }
    {
        const std::lock_guard lock(impl_->mutex_);
        impl_->foreign_.push_back(std::move(function));
        impl_->hasForeign_ = true;
    }
    impl_->ace_.notify(&impl_->wakeUp_);
}

TimerId Reactor::schedule(base::Millis delay, std::function<void()> function)
{
    const auto id = impl_->nextTimer_++;
    const auto due = base::monotonicNow() + delay;
    impl_->timers_.emplace(Impl::TimerKey(due, id), std::move(function));
    impl_->timerDue_.emplace(id, due);
    return id;
}

void Reactor::cancel(TimerId id)
{
    const auto found = impl_->timerDue_.find(id);
    if (found == impl_->timerDue_.end())
        return;
    impl_->timers_.erase(Impl::TimerKey(found->second, id));
    impl_->timerDue_.erase(found);
}

ACE_Reactor &Reactor::ace()
{
    return impl_->ace_;
}

} // namespace net

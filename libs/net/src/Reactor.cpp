#include <net/Reactor.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <ace/Event_Handler.h>
#include <base/Clock.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace net {

namespace {

constexpr int maxEventsPerIteration = 128;

/** Handler and event mask of one watched socket. */
struct Watch
{
    ACE_Event_Handler *handler_ = nullptr;
    ACE_Reactor_Mask mask_ = 0;
    std::uint32_t generation_ = 0; ///< distinguishes a reused descriptor within one iteration
};

std::uint64_t makeToken(int socket, std::uint32_t generation)
{
    return static_cast<std::uint64_t>(generation) << 32 | static_cast<std::uint32_t>(socket);
}

std::uint32_t epollMask(ACE_Reactor_Mask mask)
{
    constexpr auto reading = ACE_Event_Handler::READ_MASK | ACE_Event_Handler::ACCEPT_MASK;
    std::uint32_t events = 0;
    if ((mask & reading) != 0)
        events |= EPOLLIN;
    if ((mask & ACE_Event_Handler::WRITE_MASK) != 0)
        events |= EPOLLOUT;
    return events;
}

/** Limit on the wait for events when no timer is due earlier. */
constexpr base::Millis maxWait(1000);

} // namespace

struct Reactor::Impl
{
    Impl()
        : epoll_(::epoll_create1(EPOLL_CLOEXEC))
        , wakeUp_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        epoll_event event = {.events = EPOLLIN, .data = {.u64 = makeToken(wakeUp_, 0)}};
        ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wakeUp_, &event);
    }

    ~Impl()
    {
        ::close(wakeUp_);
        ::close(epoll_);
    }

    using TimerKey = std::pair<base::Millis, TimerId>;

    const int epoll_;
    const int wakeUp_; ///< eventfd, readable while another thread wakes up the loop
    std::unordered_map<int, Watch> watches_;
    std::uint32_t nextGeneration_ = 1;
    std::atomic<bool> isStopping_ = false;
    std::atomic<std::thread::id> loopThread_ = std::thread::id();

    std::mutex mutex_; ///< protects remotePosts_ only
    std::vector<std::function<void()>> remotePosts_;
    std::atomic<bool> hasRemotePosts_ = false; ///< avoids the lock in most iterations
    std::vector<std::function<void()>> localPosts_;

    std::map<TimerKey, std::function<void()>> timers_;
    std::unordered_map<TimerId, base::Millis> dueTimes_;
    TimerId nextTimer_ = 1;

    void runPosted();
    void runTimers();
    base::Millis untilNextTimer() const;
    void wakeUp() const;
    void dispatch(const epoll_event &event);
    void runOnce(base::Millis timeout);
};

void Reactor::Impl::runPosted()
{
    if (hasRemotePosts_) {
        const std::lock_guard lock(mutex_);
        hasRemotePosts_ = false;
        for (auto &function : remotePosts_)
            localPosts_.push_back(std::move(function));
        remotePosts_.clear();
    }
    while (!localPosts_.empty()) {
        const auto batch = std::exchange(localPosts_, {});
        for (const auto &function : batch)
            function();
    }
}

void Reactor::Impl::runTimers()
{
    const auto now = base::monotonicNow();
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
        auto node = timers_.extract(timers_.begin());
        dueTimes_.erase(node.key().second);
        node.mapped()();
    }
}

base::Millis Reactor::Impl::untilNextTimer() const
{
    if (timers_.empty())
        return maxWait;
    const auto wait = timers_.begin()->first.first - base::monotonicNow();
    return std::clamp(wait, base::Millis(0), maxWait);
}

void Reactor::Impl::wakeUp() const
{
    const std::uint64_t one = 1;
    // Fails only if the counter is at its limit, in which case a wake-up is already pending.
    [[maybe_unused]] const auto written = ::write(wakeUp_, &one, sizeof(one));
}

void Reactor::Impl::dispatch(const epoll_event &event)
{
    const auto socket = static_cast<int>(event.data.u64 & 0xffffffff);
    if (socket == wakeUp_) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto taken = ::read(wakeUp_, &count, sizeof(count));
        return;
    }
    // A handler called earlier in this iteration may have removed or replaced the watch.
    const auto currentWatch = [&]() -> const Watch * {
        const auto found = watches_.find(socket);
        const bool isSame = found != watches_.end()
                            && makeToken(socket, found->second.generation_) == event.data.u64;
        return isSame ? &found->second : nullptr;
    };
    constexpr std::uint32_t errorEvents = EPOLLERR | EPOLLHUP;
    const auto *watch = currentWatch();
    if (watch != nullptr && (event.events & (EPOLLIN | errorEvents)) != 0
        && (epollMask(watch->mask_) & EPOLLIN) != 0)
        watch->handler_->handle_input(socket);
    watch = currentWatch();
    if (watch != nullptr && (event.events & (EPOLLOUT | errorEvents)) != 0
        && (epollMask(watch->mask_) & EPOLLOUT) != 0)
        watch->handler_->handle_output(socket);
}

void Reactor::Impl::runOnce(base::Millis timeout)
{
    const auto wait = std::min(timeout, untilNextTimer());
    // Rounds up: a timer may be late by a fraction of a millisecond, but never early.
    const auto waitMs = (wait + base::Millis::fromMicros(999)).count();
    epoll_event events[maxEventsPerIteration];
    const auto count =
            ::epoll_wait(epoll_, events, maxEventsPerIteration, static_cast<int>(waitMs));
    // Runs before the events, so that a function posted before a request arrived applies to it.
    runPosted();
    for (int i = 0; i < count; ++i)
        dispatch(events[i]);
    runTimers();
    runPosted();
}

Reactor::Reactor()
    : impl_(std::make_unique<Impl>())
{}

Reactor::~Reactor() = default;

void Reactor::run()
{
    impl_->loopThread_ = std::this_thread::get_id();
    impl_->runPosted();
    while (!impl_->isStopping_)
        impl_->runOnce(maxWait);
}

void Reactor::runFor(base::Millis time)
{
    impl_->loopThread_ = std::this_thread::get_id();
    impl_->runPosted();
    const auto end = base::monotonicNow() + time;
    while (!impl_->isStopping_) {
        const auto remaining = end - base::monotonicNow();
        if (remaining <= base::Millis(0))
            return;
        impl_->runOnce(remaining);
    }
}

void Reactor::stop()
{
    impl_->isStopping_ = true;
    impl_->wakeUp();
}

void Reactor::post(std::function<void()> function)
{
    if (impl_->loopThread_.load() == std::this_thread::get_id()) {
        impl_->localPosts_.push_back(std::move(function));
        return;
    }
    bool isWakeUpPending = false;
    {
        const std::lock_guard lock(impl_->mutex_);
        impl_->remotePosts_.push_back(std::move(function));
        isWakeUpPending = impl_->hasRemotePosts_.exchange(true);
    }
    if (!isWakeUpPending)
        impl_->wakeUp();
}

TimerId Reactor::schedule(base::Millis delay, std::function<void()> function)
{
    const auto id = impl_->nextTimer_++;
    const auto due = base::monotonicNow() + delay;
    impl_->timers_.emplace(Impl::TimerKey(due, id), std::move(function));
    impl_->dueTimes_.emplace(id, due);
    return id;
}

void Reactor::cancel(TimerId id)
{
    const auto found = impl_->dueTimes_.find(id);
    if (found == impl_->dueTimes_.end())
        return;
    impl_->timers_.erase(Impl::TimerKey(found->second, id));
    impl_->dueTimes_.erase(found);
}

void Reactor::watch(int socket, ACE_Event_Handler &handler, ACE_Reactor_Mask mask)
{
    const auto [entry, isNew] = impl_->watches_.try_emplace(socket);
    auto &watch = entry->second;
    if (isNew)
        watch.generation_ = impl_->nextGeneration_++;
    else if (watch.mask_ == mask && watch.handler_ == &handler)
        return;
    watch.handler_ = &handler;
    watch.mask_ = mask;
    epoll_event event = {.events = epollMask(mask),
                         .data = {.u64 = makeToken(socket, watch.generation_)}};
    ::epoll_ctl(impl_->epoll_, isNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
}

void Reactor::unwatch(int socket)
{
    if (impl_->watches_.erase(socket) > 0)
        ::epoll_ctl(impl_->epoll_, EPOLL_CTL_DEL, socket, nullptr);
}

// The kernel removes a closed socket from the epoll set.
void Reactor::unwatchAndClose(int socket)
{
    impl_->watches_.erase(socket);
    ::close(socket);
}

} // namespace net

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

/** Events taken from the kernel in one turn. */
constexpr int eventsInOneTurn = 128;

/** A socket and who is told of its events. */
struct Watch
{
    ACE_Event_Handler *handler_ = nullptr;
    ACE_Reactor_Mask mask_ = 0;
    std::uint32_t generation_ = 0; ///< tells apart two watches of one number in one turn
};

std::uint64_t tokenOf(int socket, std::uint32_t generation)
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

/** Longest time that the loop waits when no timer is due. */
constexpr base::Millis longestWait(1000);

} // namespace

struct Reactor::Impl
{
    Impl()
        : epoll_(::epoll_create1(EPOLL_CLOEXEC))
        , wakeUp_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        epoll_event event = {.events = EPOLLIN, .data = {.u64 = tokenOf(wakeUp_, 0)}};
        ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wakeUp_, &event);
    }

    ~Impl()
    {
        ::close(wakeUp_);
        ::close(epoll_);
    }

    using TimerKey = std::pair<base::Millis, TimerId>;

    const int epoll_;
    const int wakeUp_; ///< readable while another thread wants the loop to turn
    std::unordered_map<int, Watch> watches_;
    std::uint32_t nextGeneration_ = 1;
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
    void wakeUp() const;
    void dispatch(const epoll_event &event);
    void turn(base::Millis longest);
};

void Reactor::Impl::runPosted()
{
    if (hasForeign_) {
        const std::lock_guard lock(mutex_);
        hasForeign_ = false;
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

void Reactor::Impl::wakeUp() const
{
    const std::uint64_t one = 1;
    // Fails only when the counter is at its limit, and then the loop is being woken already.
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
    // A handler told earlier in this turn may have ended or replaced the watch.
    const auto current = [&]() -> const Watch * {
        const auto found = watches_.find(socket);
        const bool isSame = found != watches_.end()
                            && tokenOf(socket, found->second.generation_) == event.data.u64;
        return isSame ? &found->second : nullptr;
    };
    constexpr std::uint32_t broken = EPOLLERR | EPOLLHUP;
    const auto *watch = current();
    if (watch != nullptr && (event.events & (EPOLLIN | broken)) != 0
        && (epollMask(watch->mask_) & EPOLLIN) != 0)
        watch->handler_->handle_input(socket);
    watch = current();
    if (watch != nullptr && (event.events & (EPOLLOUT | broken)) != 0
        && (epollMask(watch->mask_) & EPOLLOUT) != 0)
        watch->handler_->handle_output(socket);
}

void Reactor::Impl::turn(base::Millis longest)
{
    const auto wait = std::min(longest, untilNextTimer());
    // A timer may be late by a part of a millisecond, never early.
    const auto wholeWait = (wait + base::Millis::fromMicros(999)).count();
    epoll_event events[eventsInOneTurn];
    const auto count = ::epoll_wait(epoll_, events, eventsInOneTurn, static_cast<int>(wholeWait));
    // What another thread posted before a peer sent its request takes effect on that request.
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
    impl_->owner_ = std::this_thread::get_id();
    impl_->runPosted();
    while (!impl_->stopping_)
        impl_->turn(longestWait);
}

void Reactor::runFor(base::Millis time)
{
    impl_->owner_ = std::this_thread::get_id();
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
    impl_->wakeUp();
}

void Reactor::post(std::function<void()> function)
{
    if (impl_->owner_.load() == std::this_thread::get_id()) {
        impl_->local_.push_back(std::move(function));
        return;
    }
    bool isAwake = false;
    {
        const std::lock_guard lock(impl_->mutex_);
        impl_->foreign_.push_back(std::move(function));
        isAwake = impl_->hasForeign_.exchange(true);
    }
    if (!isAwake)
        impl_->wakeUp();
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
                         .data = {.u64 = tokenOf(socket, watch.generation_)}};
    ::epoll_ctl(impl_->epoll_, isNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
}

void Reactor::unwatch(int socket)
{
    if (impl_->watches_.erase(socket) > 0)
        ::epoll_ctl(impl_->epoll_, EPOLL_CTL_DEL, socket, nullptr);
}

// The kernel drops a closed socket from the epoll set by itself.
void Reactor::closeWatched(int socket)
{
    impl_->watches_.erase(socket);
    ::close(socket);
}

} // namespace net

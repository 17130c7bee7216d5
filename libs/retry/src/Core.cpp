#include <retry/Core.h>

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>

#include <base/Overloaded.h>
#include <base/Random.h>
#include <details/RatioBudgets.h>
#include <retry/ContextTable.h>

namespace retry {

namespace {

struct Call
{
    std::string token_;  ///< of the running call that pays; empty for a call from outside
    ChainBudget budget_; ///< of a call from outside
    details::RatioBudget *ratio_ = nullptr;
    bool idempotent_ = false;
    base::Millis deadline_;
    std::uint32_t attempt_ = 0;
    std::uint32_t handedDown_ = 0;
    std::uint32_t overloaded_ = 0;
    std::uint32_t unreached_ = 0; ///< attempts that were repeated without being paid for
    std::uint32_t refused_ = 0;   ///< attempts that were repeated after a backend server refused
    std::uint32_t repeats_ = 0;   ///< the other ones
    std::uint32_t mostRepeats_ = 0;
    base::Millis attemptStart_;
    std::vector<std::string> avoid_;
};

bool neverStarted(AttemptResult result)
{
    return result == AttemptResult::NotSent || result == AttemptResult::Overloaded;
}

} // namespace

struct Core::Impl
{
    Impl(const RetrySettings &settings, ContextTable &contexts, std::uint64_t seed)
        : settings_(settings)
        , contexts_(contexts)
        , random_(seed)
        , ratios_(settings)
    {}

    void on(const CallStarted &event, base::Millis now, std::vector<Command> &out);
    void on(const AttemptEnded &event, base::Millis now, std::vector<Command> &out);
    void on(const CallEnded &event, base::Millis now, std::vector<Command> &out);

    ChainBudget *budgetOf(Call &call);
    std::optional<StopReason> spend(Call &call, const AttemptEnded &event, base::Millis finish);
    base::Millis backoff(std::uint32_t attempt);
    StartAttempt start(CallId id, Call &call, base::Millis delay, base::Millis now);

    RetrySettings settings_;
    ContextTable &contexts_;
    base::Random random_;
    details::RatioBudgets ratios_;
    std::unordered_map<CallId, Call> calls_;
};

/** The budget that pays for the call; nullptr when its context has ended. */
ChainBudget *Core::Impl::budgetOf(Call &call)
{
    return call.token_.empty() ? &call.budget_ : contexts_.budget(call.token_);
}

void Core::Impl::on(const CallStarted &event, base::Millis now, std::vector<Command> &out)
{
    Call call;
    call.idempotent_ = event.idempotent_;
    call.deadline_ = event.deadline_;
    call.mostRepeats_ = event.mostRepeats_;
    call.ratio_ = &ratios_.of(event.customer_, event.requestClass_);
    if (const auto *root = std::get_if<RootCall>(&event.origin_)) {
        call.budget_ = ChainBudget(root->budget_);
    } else if (const auto *child = std::get_if<ChildCall>(&event.origin_)) {
        const auto *parent = contexts_.find(child->token_);
        if (parent && parent->depth_ >= ContextTable::maxDepth) {
            out.push_back(GiveUp{event.call_, StopReason::TooDeep});
            return;
        }
        if (parent)
            call.token_ = child->token_;
    }
    // Repetitions by callers must not earn further retries.
    if (!std::holds_alternative<UnbudgetedCall>(event.origin_))
        ratios_.earn(*call.ratio_, event.ratio_);
    auto &kept = calls_.insert_or_assign(event.call_, std::move(call)).first->second;
    out.push_back(start(event.call_, kept, base::Millis(0), now));
}

void Core::Impl::on(const AttemptEnded &event, base::Millis now, std::vector<Command> &out)
{
    const auto found = calls_.find(event.call_);
    if (found == calls_.end() || found->second.attempt_ != event.attempt_)
        return;
    auto &call = found->second;
    if (auto *budget = budgetOf(call); budget && event.budgetLeft_)
        budget->takeBack(call.handedDown_, *event.budgetLeft_);
    // What a request carried that was not sent or not admitted cannot have been used.
    else if (budget && neverStarted(event.result_))
        budget->takeBack(call.handedDown_, call.handedDown_);
    call.handedDown_ = 0;
    if (event.result_ == AttemptResult::Answered) {
        const auto time = now - call.attemptStart_;
        auto &mean = call.ratio_->meanTime_;
        mean = mean == base::Millis(0) ? time : (mean * 7 + time) / 8;
        calls_.erase(found);
        return;
    }
    if (event.result_ == AttemptResult::Overloaded) {
        ++call.overloaded_;
        call.avoid_.push_back(event.instance_);
    }
    const auto delay = backoff(call.attempt_);
    const auto finish = now + delay + call.ratio_->meanTime_;
    if (const auto stop = spend(call, event, finish)) {
        out.push_back(GiveUp{event.call_, *stop});
        calls_.erase(found);
        return;
    }
    out.push_back(start(event.call_, call, delay, now));
}

void Core::Impl::on(const CallEnded &event, base::Millis, std::vector<Command> &)
{
    calls_.erase(event.call_);
}

/** Pays for another attempt that would end at that time, or says why there is none. */
std::optional<StopReason> Core::Impl::spend(Call &call, const AttemptEnded &event,
                                            base::Millis finish)
{
    const bool mayHaveRun =
            event.result_ == AttemptResult::Lost || event.result_ == AttemptResult::Failed;
    if (mayHaveRun && !call.idempotent_)
        return StopReason::MayHaveRun;
    if (call.overloaded_ >= settings_.maxOverloaded_)
        return StopReason::CalleeOverloaded;
    if (finish >= call.deadline_)
        return StopReason::DeadlineNear;
    if (!event.reachedBackend_ && call.unreached_ < settings_.freeUnreached_) {
        ++call.unreached_;
        return std::nullopt;
    }
    const bool isRefusal = event.result_ == AttemptResult::NotRun && event.reachedBackend_;
    if (isRefusal && settings_.mostRefused_ > 0) {
        if (call.refused_ >= settings_.mostRefused_)
            return StopReason::RefusalsRepeated;
        ++call.refused_;
        return std::nullopt;
    }
    if (call.repeats_ >= call.mostRepeats_)
        return StopReason::BudgetSpent;
    if (settings_.hasRatio_ && call.ratio_->tokens_ < 1)
        return StopReason::RatioSpent;
    if (auto *budget = budgetOf(call); !budget || !budget->spend())
        return StopReason::BudgetSpent;
    if (settings_.hasRatio_)
        call.ratio_->tokens_ -= 1;
    ++call.repeats_;
    return std::nullopt;
}

base::Millis Core::Impl::backoff(std::uint32_t attempt)
{
    const auto doublings = std::min(attempt - 1, std::uint32_t{20});
    const auto limit =
            std::min(settings_.firstDelay_ * (std::int64_t{1} << doublings), settings_.maxDelay_);
    const auto bound = static_cast<std::uint64_t>(limit.micros()) + 1;
    return base::Millis::fromMicros(static_cast<std::int64_t>(random_.below(bound)));
}

StartAttempt Core::Impl::start(CallId id, Call &call, base::Millis delay, base::Millis now)
{
    ++call.attempt_;
    call.attemptStart_ = now + delay;
    auto *budget = budgetOf(call);
    call.handedDown_ = budget ? budget->handDown() : 0;
    return StartAttempt{id, call.attempt_, delay, call.handedDown_, call.avoid_};
}

Core::Core(const RetrySettings &settings, ContextTable &contexts, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, contexts, seed))
{}

Core::~Core() = default;

std::vector<Command> Core::handle(const Event &event, base::Millis now)
{
    std::vector<Command> out;
    std::visit([&](const auto &one) { impl_->on(one, now, out); }, event);
    return out;
}

std::size_t Core::calls() const
{
    return impl_->calls_.size();
}

std::string_view stopReasonText(StopReason reason)
{
    switch (reason) {
    case StopReason::MayHaveRun:
        return "may-have-run";
    case StopReason::BudgetSpent:
        return "budget-spent";
    case StopReason::RatioSpent:
        return "ratio-spent";
    case StopReason::RefusalsRepeated:
        return "refusals-repeated";
    case StopReason::CalleeOverloaded:
        return "callee-overloaded";
    case StopReason::DeadlineNear:
        return "deadline-near";
    case StopReason::TooDeep:
        return "too-deep";
    }
    return "unknown";
}

} // namespace retry

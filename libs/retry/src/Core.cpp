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
    std::string token_;  ///< of the running call that is charged; empty for a call from outside
    ChainBudget budget_; ///< used for a call from outside
    details::RatioBudget *ratio_ = nullptr;
    bool idempotent_ = false;
    base::Millis deadline_;
    std::uint32_t attempt_ = 0;
    std::uint32_t calleeBudget_ = 0;
    std::uint32_t overloadRefusals_ = 0;
    std::uint32_t handBacks_ = 0;
    std::uint32_t unreachedRetries_ = 0; ///< free retries
    std::uint32_t refusalRetries_ = 0;   ///< retries after refusals by a backend server
    std::uint32_t budgetedRetries_ = 0;  ///< all other retries
    std::uint32_t maxBudgetedRetries_ = 0;
    base::Millis attemptStartedAt_;
    std::vector<std::string> excludedInstances_;
};

bool didNotStart(AttemptResult result)
{
    return result == AttemptResult::NotSent || result == AttemptResult::Overloaded
           || result == AttemptResult::HandedBack;
}

/** Whether a backend server refused the attempt without running it. */
bool isRefusal(const AttemptEnded &event)
{
    return event.result_ == AttemptResult::NotRun && event.reachedBackend_;
}

/** Delays after refusals stop doubling here, as executors limit their rate. */
constexpr std::uint32_t maxRefusalBackoff = 3;

} // namespace

struct Core::Impl
{
    Impl(const RetrySettings &settings, ContextTable &contexts, std::uint64_t seed)
        : settings_(settings)
        , contexts_(contexts)
        , random_(seed)
        , ratios_(settings)
    {}

    void on(const CallStarted &event, base::Millis now, std::vector<Command> &commands);
    void on(const AttemptEnded &event, base::Millis now, std::vector<Command> &commands);
    void on(const CallEnded &event, base::Millis now, std::vector<Command> &commands);

    ChainBudget *budgetOf(Call &call);
    std::optional<StopReason> spend(Call &call, const AttemptEnded &event,
                                    base::Millis expectedEnd);
    base::Millis backoff(std::uint32_t attempt);
    StartAttempt start(CallId id, Call &call, base::Millis delay, base::Millis now);

    RetrySettings settings_;
    ContextTable &contexts_;
    base::Random random_;
    details::RatioBudgets ratios_;
    std::unordered_map<CallId, Call> calls_;
};

/** The budget charged for the call; nullptr if its context is closed. */
ChainBudget *Core::Impl::budgetOf(Call &call)
{
    return call.token_.empty() ? &call.budget_ : contexts_.budget(call.token_);
}

void Core::Impl::on(const CallStarted &event, base::Millis now, std::vector<Command> &commands)
{
    Call call;
    call.idempotent_ = event.idempotent_;
    call.deadline_ = event.deadline_;
    call.maxBudgetedRetries_ = event.maxBudgetedRetries_;
    call.ratio_ = &ratios_.of(event.customer_, event.requestClass_);
    if (const auto *root = std::get_if<RootCall>(&event.origin_)) {
        call.budget_ = ChainBudget(root->budget_);
    } else if (const auto *child = std::get_if<ChildCall>(&event.origin_)) {
        const auto *parent = contexts_.find(child->token_);
        if (parent && parent->depth_ >= ContextTable::maxDepth) {
            commands.push_back(GiveUp{event.call_, StopReason::TooDeep});
            return;
        }
        if (parent)
            call.token_ = child->token_;
    }
    // Retries by callers must not earn further retries.
    if (!std::holds_alternative<UnbudgetedCall>(event.origin_))
        ratios_.earn(*call.ratio_, event.ratio_);
    auto &entry = calls_.insert_or_assign(event.call_, std::move(call)).first->second;
    commands.push_back(start(event.call_, entry, base::Millis(0), now));
}

void Core::Impl::on(const AttemptEnded &event, base::Millis now, std::vector<Command> &commands)
{
    const auto found = calls_.find(event.call_);
    if (found == calls_.end() || found->second.attempt_ != event.attempt_)
        return;
    auto &call = found->second;
    if (auto *budget = budgetOf(call); budget && event.budgetLeft_)
        budget->reclaim(call.calleeBudget_, *event.budgetLeft_);
    // An attempt that was not sent or not admitted cannot have used its budget.
    else if (budget && didNotStart(event.result_))
        budget->reclaim(call.calleeBudget_, call.calleeBudget_);
    call.calleeBudget_ = 0;
    if (event.result_ == AttemptResult::Answered) {
        const auto time = now - call.attemptStartedAt_;
        auto &mean = call.ratio_->meanDuration_;
        mean = mean == base::Millis(0) ? time : (mean * 7 + time) / 8;
        calls_.erase(found);
        return;
    }
    if (event.result_ == AttemptResult::Overloaded) {
        ++call.overloadRefusals_;
        call.excludedInstances_.push_back(event.instance_);
    }
    if (event.result_ == AttemptResult::HandedBack && call.handBacks_ < settings_.maxHandBacks_
        && now < call.deadline_) {
        ++call.handBacks_;
        commands.push_back(start(event.call_, call, base::Millis(0), now));
        return;
    }
    const bool isFree = isRefusal(event) && settings_.maxRefusalRetries_ > 0;
    const auto delay = backoff(isFree ? std::min(call.attempt_, maxRefusalBackoff) : call.attempt_);
    const auto expectedEnd = now + delay + call.ratio_->meanDuration_;
    if (const auto stop = spend(call, event, expectedEnd)) {
        commands.push_back(GiveUp{event.call_, *stop});
        calls_.erase(found);
        return;
    }
    commands.push_back(start(event.call_, call, delay, now));
}

void Core::Impl::on(const CallEnded &event, base::Millis, std::vector<Command> &)
{
    calls_.erase(event.call_);
}

/** Charges another attempt that would end at expectedEnd, or returns why it is not allowed. */
std::optional<StopReason> Core::Impl::spend(Call &call, const AttemptEnded &event,
                                            base::Millis expectedEnd)
{
    const bool mayHaveRun =
            event.result_ == AttemptResult::Lost || event.result_ == AttemptResult::Failed;
    if (mayHaveRun && !call.idempotent_)
        return StopReason::MayHaveRun;
    if (call.overloadRefusals_ >= settings_.maxOverloadRefusals_)
        return StopReason::CalleeOverloaded;
    if (expectedEnd >= call.deadline_)
        return StopReason::DeadlineNear;
    if (!event.reachedBackend_ && call.unreachedRetries_ < settings_.maxUnreachedRetries_) {
        ++call.unreachedRetries_;
        return std::nullopt;
    }
    if (isRefusal(event) && settings_.maxRefusalRetries_ > 0) {
        if (call.refusalRetries_ >= settings_.maxRefusalRetries_)
            return StopReason::RefusalsRepeated;
        ++call.refusalRetries_;
        return std::nullopt;
    }
    if (call.budgetedRetries_ >= call.maxBudgetedRetries_)
        return StopReason::BudgetSpent;
    if (settings_.enforcesRatio_ && call.ratio_->tokens_ < 1)
        return StopReason::RatioSpent;
    if (auto *budget = budgetOf(call); !budget || !budget->spend())
        return StopReason::BudgetSpent;
    if (settings_.enforcesRatio_)
        call.ratio_->tokens_ -= 1;
    ++call.budgetedRetries_;
    return std::nullopt;
}

base::Millis Core::Impl::backoff(std::uint32_t attempt)
{
    const auto exponent = std::min(attempt - 1, std::uint32_t{20});
    const auto limit =
            std::min(settings_.initialDelay_ * (std::int64_t{1} << exponent), settings_.maxDelay_);
    const auto bound = static_cast<std::uint64_t>(limit.micros()) + 1;
    return base::Millis::fromMicros(static_cast<std::int64_t>(random_.below(bound)));
}

StartAttempt Core::Impl::start(CallId id, Call &call, base::Millis delay, base::Millis now)
{
    ++call.attempt_;
    call.attemptStartedAt_ = now + delay;
    auto *budget = budgetOf(call);
    call.calleeBudget_ = budget ? budget->allocate() : 0;
    return StartAttempt{id, call.attempt_, delay, call.calleeBudget_, call.excludedInstances_};
}

Core::Core(const RetrySettings &settings, ContextTable &contexts, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, contexts, seed))
{}

Core::~Core() = default;

std::vector<Command> Core::handle(const Event &event, base::Millis now)
{
    std::vector<Command> commands;
    std::visit([&](const auto &alternative) { impl_->on(alternative, now, commands); }, event);
    return commands;
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

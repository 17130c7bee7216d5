#include <details/Instance.h>

#include <algorithm>
#include <utility>

namespace routing::details {

namespace {

constexpr double coldShare = 0.1;
constexpr double leastLevelShare = 0.1;
constexpr double unhealthyShare = 0.5;
constexpr double fullReportShare = 0.8;
// An instance found full is used again once a fifth of its slots is free.
constexpr double fullUntil = 0.8;
constexpr int mostDoublings = 10;
// Weight of one call in the share of failures, which so covers about the last 32.
constexpr double failureWeight = 1.0 / 32;

} // namespace

Instance::Instance(std::shared_ptr<const model::Member> member, base::Millis warmAt,
                   std::uint64_t subsetWeight)
    : member_(std::move(member))
    , warmAt_(warmAt)
    , subsetWeight_(subsetWeight)
{}

void Instance::update(std::shared_ptr<const model::Member> member, base::Millis warmAt)
{
    const bool isNewProcess = member->generation_ != member_->generation_;
    const bool isNewServer = member->serving_ == model::ServingState::Ready
                             && member_->serving_ != model::ServingState::Ready;
    member_ = std::move(member);
    if (!isNewProcess && !isNewServer)
        return;
    warmAt_ = warmAt;
    level_ = admission::Level::all();
    leavingUntil_ = base::Millis();
    ejectedUntil_ = base::Millis();
    failuresInRow_ = 0;
    ejections_ = 0;
    failureShare_ = 0.0;
}

void Instance::noteSent(const admission::Priority &priority, const Options &options,
                        base::Millis now)
{
    ++inFlight_;
    noteFull(options, now);
    // The call tries an expired level: others wait for its answer.
    if (!level_.admits(priority))
        levelUntil_ = now + options.probeInterval_;
}

void Instance::noteFull(const Options &options, base::Millis now)
{
    const double slots = std::max(1.0, member_->slots_ * warmth(options, now));
    if (inFlight_ >= slots)
        isFull_ = true;
}

void Instance::noteEnded()
{
    if (inFlight_ > 0)
        --inFlight_;
    if (inFlight_ <= fullUntil * member_->slots_)
        isFull_ = false;
}

void Instance::noteAnswered(const Answered &answer, const Options &options, base::Millis now)
{
    noteEnded();
    failuresInRow_ = 0;
    if (answer.kind_ == AnswerKind::Complete)
        ejections_ = std::max(0, ejections_ - 1);
    if (answer.kind_ == AnswerKind::Complete || answer.kind_ == AnswerKind::Failed)
        noteQuality(answer.kind_ == AnswerKind::Failed);
    if (answer.isLeaving_)
        leavingUntil_ = now + options.drainMemory_;
    level_ = answer.level_;
    levelUntil_ = now + options.levelExpiry_;
    if (answer.kind_ == AnswerKind::Shed && level_.covers(answer.priority_)) {
        // The level is that of the moment before, or of another customer.
        const int shed = admission::Level::of(answer.priority_).value_;
        level_ = admission::Level::fromNumber(shed - 1);
        levelUntil_ = now + options.probeInterval_;
    }
}

void Instance::noteFailed(FailureKind kind)
{
    noteEnded();
    if (kind == FailureKind::Cancelled)
        return;
    ++failuresInRow_;
    noteQuality(true);
}

void Instance::noteQuality(bool hasFailed)
{
    failureShare_ += failureWeight * ((hasFailed ? 1.0 : 0.0) - failureShare_);
}

void Instance::noteReported(const Reported &report, const Options &options, base::Millis now)
{
    const double load = std::clamp(report.utilisation_, 0.0, 1.0);
    hintWeight_ = 1.0 - (1.0 - fullReportShare) * load;
    if (!report.isHealthy_)
        hintWeight_ *= unhealthyShare;
    hintUntil_ = now + options.hintExpiry_;
}

void Instance::eject(const Options &options, base::Millis now)
{
    const base::Millis time = options.ejectionTime_ * (1LL << std::min(ejections_, mostDoublings));
    ejectedUntil_ = now + std::min(time, options.longestEjection_);
    ++ejections_;
    // After the ejection a single failure is enough for the next one.
    failuresInRow_ = options.failuresToEject_ - 1;
}

bool Instance::isFailing(const Options &options) const
{
    return failuresInRow_ >= options.failuresToEject_;
}

bool Instance::isDraining(base::Millis now) const
{
    return member_->serving_ != model::ServingState::Ready || now < leavingUntil_;
}

admission::Level Instance::level(base::Millis now) const
{
    return now < levelUntil_ ? level_ : admission::Level::all();
}

double Instance::warmth(const Options &options, base::Millis now) const
{
    if (now >= warmAt_)
        return 1.0;
    const double left = (warmAt_ - now).fractional() / options.slowStart_.fractional();
    return std::clamp(1.0 - left, coldShare, 1.0);
}

double Instance::weight(const Options &options, base::Millis now) const
{
    const double slots = std::max<std::uint32_t>(1, member_->slots_);
    const double levelShare = static_cast<double>(level(now).value_) / admission::Level::highest;
    const double hint = now < hintUntil_ ? hintWeight_ : 1.0;
    return slots * warmth(options, now) * std::max(leastLevelShare, levelShare) * hint;
}

} // namespace routing::details

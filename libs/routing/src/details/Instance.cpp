#include <details/Instance.h>

#include <algorithm>
#include <utility>

namespace routing::details {

namespace {

constexpr double minWarmUpFactor = 0.1;
constexpr double minLevelFactor = 0.1;
constexpr double unhealthyFactor = 0.5;
constexpr double fullLoadFactor = 0.8;
// Hysteresis: a saturated instance becomes eligible again when a fifth of its slots is free.
constexpr double saturationReleaseRatio = 0.8;
constexpr int maxEjectionDoublings = 10;
// Smoothing factor of the moving average of failures: covers about the last 32 calls.
constexpr double failureRateSmoothing = 1.0 / 32;

} // namespace

Instance::Instance(std::shared_ptr<const model::Member> member, base::Millis warmUpEnd,
                   std::uint64_t subsetWeight)
    : member_(std::move(member))
    , warmUpEnd_(warmUpEnd)
    , subsetWeight_(subsetWeight)
{}

void Instance::update(std::shared_ptr<const model::Member> member, base::Millis warmUpEnd)
{
    const bool isNewProcess = member->generation_ != member_->generation_;
    const bool isNewServer = member->serving_ == model::ServingState::Ready
                             && member_->serving_ != model::ServingState::Ready;
    member_ = std::move(member);
    if (!isNewProcess && !isNewServer)
        return;
    warmUpEnd_ = warmUpEnd;
    level_ = admission::Level::all();
    drainingUntil_ = base::Millis();
    ejectedUntil_ = base::Millis();
    consecutiveFailures_ = 0;
    ejectionCount_ = 0;
    failureRate_ = 0.0;
    observedLoad_.reset();
}

void Instance::recordSent(const admission::Priority &priority, const Options &options,
                          base::Millis now)
{
    ++inFlight_;
    updateSaturation(options, now);
    // This call probes an expired level; further calls of its priority wait for the answer.
    if (!level_.admits(priority))
        levelExpiresAt_ = now + options.probeInterval_;
}

void Instance::updateSaturation(const Options &options, base::Millis now)
{
    const double slots = std::max(1.0, member_->slots_ * warmUpFactor(options, now));
    if (inFlight_ >= slots)
        isSaturated_ = true;
}

void Instance::recordEnd()
{
    if (inFlight_ > 0)
        --inFlight_;
    if (inFlight_ <= saturationReleaseRatio * member_->slots_)
        isSaturated_ = false;
}

void Instance::recordAnswered(const CallAnswered &answer, const Options &options, base::Millis now)
{
    recordEnd();
    consecutiveFailures_ = 0;
    if (answer.kind_ == AnswerKind::Complete)
        ejectionCount_ = std::max(0, ejectionCount_ - 1);
    if (answer.kind_ == AnswerKind::Complete || answer.kind_ == AnswerKind::Failed)
        updateFailureRate(answer.kind_ == AnswerKind::Failed);
    if (answer.isLeaving_)
        drainingUntil_ = now + options.drainingExpiry_;
    if (answer.load_ && answer.generation_ == member_->generation_)
        observedLoad_.emplace(*answer.load_, inFlight_, now);
    level_ = answer.level_;
    levelExpiresAt_ = now + options.levelExpiry_;
    if (answer.kind_ == AnswerKind::Shed && level_.covers(answer.priority_)) {
        // The level in the answer predates the refusal, or applies to another customer.
        const int shed = admission::Level::of(answer.priority_).value_;
        level_ = admission::Level::fromNumber(shed - 1);
        levelExpiresAt_ = now + options.probeInterval_;
    }
}

void Instance::recordFailed(FailureKind kind)
{
    recordEnd();
    if (kind == FailureKind::Cancelled)
        return;
    ++consecutiveFailures_;
    updateFailureRate(true);
}

void Instance::updateFailureRate(bool hasFailed)
{
    failureRate_ += failureRateSmoothing * ((hasFailed ? 1.0 : 0.0) - failureRate_);
}

void Instance::recordReport(const InstanceReported &report, const Options &options,
                            base::Millis now)
{
    const double load = std::clamp(report.utilisation_, 0.0, 1.0);
    reportFactor_ = 1.0 - (1.0 - fullLoadFactor) * load;
    if (!report.isHealthy_)
        reportFactor_ *= unhealthyFactor;
    reportExpiresAt_ = now + options.reportExpiry_;
}

void Instance::eject(const Options &options, base::Millis now)
{
    const base::Millis time =
            options.baseEjectionTime_ * (1LL << std::min(ejectionCount_, maxEjectionDoublings));
    ejectedUntil_ = now + std::min(time, options.maxEjectionTime_);
    ++ejectionCount_;
    // A single failure after this ejection triggers the next one.
    consecutiveFailures_ = options.failuresToEject_ - 1;
}

bool Instance::isFailing(const Options &options) const
{
    return consecutiveFailures_ >= options.failuresToEject_;
}

bool Instance::isDraining(base::Millis now) const
{
    return member_->serving_ != model::ServingState::Ready || now < drainingUntil_;
}

admission::Level Instance::level(base::Millis now) const
{
    return now < levelExpiresAt_ ? level_ : admission::Level::all();
}

double Instance::warmUpFactor(const Options &options, base::Millis now) const
{
    if (now >= warmUpEnd_)
        return 1.0;
    const double remaining =
            (warmUpEnd_ - now).fractional() / options.slowStartWindow_.fractional();
    return std::clamp(1.0 - remaining, minWarmUpFactor, 1.0);
}

double Instance::weight(const Options &options, base::Millis now) const
{
    const double slots = std::max<std::uint32_t>(1, member_->slots_);
    const double levelFactor = static_cast<double>(level(now).value_) / admission::Level::highest;
    const double reportFactor = now < reportExpiresAt_ ? reportFactor_ : 1.0;
    return slots * warmUpFactor(options, now) * std::max(minLevelFactor, levelFactor)
           * reportFactor;
}

} // namespace routing::details

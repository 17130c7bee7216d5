#include <allowance/Authority.h>

#include <algorithm>
#include <utility>

#include <base/Overloaded.h>

namespace allowance {

Authority::Authority(const Settings &settings)
    : settings_(settings)
{}

void Authority::claim(base::Millis now)
{
    lastNow_ = now;
    claimUntil_ = now + settings_.claimFor_;
}

void Authority::claimAfterHandOver(std::uint64_t end, base::Millis now)
{
    const bool isOld = end_ && (end < *end_ || wasLast_);
    if (isReleased_ || isOld)
        return;
    claim(now);
    handOver_ = end;
}

std::optional<std::uint64_t> Authority::endToAppendAt(base::Millis now) const
{
    if (handOver_)
        return handOver_;
    if (!end_)
        return 0;
    if (wasLast_)
        return now >= renewAt_ ? end_ : std::nullopt;
    if (holderEndedAt_)
        return end_;
    // Whoever appended the last record had sent it before its end was heard here.
    return now >= endKnownAt_ + settings_.lease_ + settings_.margin_ ? end_ : std::nullopt;
}

std::optional<std::uint64_t> Authority::awaitedEnd(base::Millis now) const
{
    const bool isWaiting = !isReleased_ && now < claimUntil_ && !call_ && !handOver_ && !wasLast_
                           && !holderEndedAt_;
    return isWaiting ? end_ : std::nullopt;
}

void Authority::onEndHeard(std::uint64_t end, base::Millis now)
{
    lastNow_ = now;
    if (isReleased_ || call_ || end <= end_.value_or(0))
        return;
    onEndMoved(end, now);
    isEndAnnounced_ = true;
}

void Authority::onHolderEnded(std::uint64_t end, base::Millis now)
{
    if (awaitedEnd(now) == end)
        holderEndedAt_ = now;
}

std::optional<Append> Authority::due(base::Millis now)
{
    lastNow_ = now;
    if (isReleased_ || now >= claimUntil_)
        return std::nullopt;
    if (!call_) {
        const auto end = endToAppendAt(now);
        if (!end)
            return std::nullopt;
        call_ = Call{{*end, series_, sequence_}, now, now, false, handOver_.has_value()};
        handOver_.reset();
    }
    if (call_->isInFlight_ || now < call_->resendAt_)
        return std::nullopt;
    call_->isInFlight_ = true;
    return call_->append_;
}

void Authority::onResult(const Append &append, const AppendResult &result, base::Millis now)
{
    lastNow_ = now;
    if (isReleased_ || !call_ || !call_->isInFlight_ || call_->append_ != append)
        return;
    std::visit(base::Overloaded{
                       [&](const Appended &appended) { onAppended(appended.end_, now); },
                       [&](const EndMoved &moved) { onEndMoved(moved.end_, now); },
                       [&](const NoAnswer &) { onNoAnswer(now); },
               },
               result);
}

/** The former allotter has granted nothing from this time on. */
base::Millis Authority::lastGrantBefore() const
{
    return holderEndedAt_.value_or(endKnownAt_ + settings_.lease_);
}

void Authority::onAppended(std::uint64_t end, base::Millis now)
{
    const auto call = *std::exchange(call_, std::nullopt);
    const bool isFirst = call.append_.expectedEnd_ == 0;
    const bool isContinued = wasLast_ && end_ == call.append_.expectedEnd_;
    if (!isContinued) {
        tenure_.fence_ = end;
        const bool isLedgerKnown = isFirst || call.isHandOver_;
        // Tokens for held requests that the former allotter granted last may be on their way.
        tenure_.since_ = isLedgerKnown ? now : std::max(now, lastGrantBefore() + settings_.margin_);
        tenure_.quietUntil_ =
                isLedgerKnown ? now
                              : lastGrantBefore() + settings_.partValidity_ + settings_.margin_;
    }
    holderEndedAt_.reset();
    if (handOver_ && *handOver_ < end)
        handOver_.reset(); // came while this append was in flight
    tenure_.end_ = end;
    // The append may have taken effect as early as it was first sent.
    tenure_.validUntil_ = call.firstSent_ + settings_.lease_;
    renewAt_ = call.firstSent_ + settings_.renewInterval_;
    end_ = end;
    endKnownAt_ = now;
    wasLast_ = true;
    ++sequence_;
}

void Authority::onNoAnswer(base::Millis now)
{
    if (isEndAnnounced_ && !wasLast_ && !call_->isHandOver_) {
        // The former allotter may be waiting for the log as well, and knows its ledger: it gets a
        // lease's time once the log answers.
        forgetEnd();
        return;
    }
    call_->isInFlight_ = false;
    call_->resendAt_ = now + settings_.appendRetryDelay_;
}

void Authority::forgetEnd()
{
    call_.reset();
    end_.reset();
    holderEndedAt_.reset();
    isEndAnnounced_ = false;
    ++series_;
    sequence_ = 0;
}

void Authority::onEndMoved(std::uint64_t end, base::Millis now)
{
    call_.reset();
    end_ = end;
    endKnownAt_ = now;
    holderEndedAt_.reset();
    isEndAnnounced_ = false;
    wasLast_ = false;
    tenure_ = {};
    ++series_;
    sequence_ = 0;
}

std::optional<std::uint64_t> Authority::release()
{
    isReleased_ = true;
    const auto quietUntil = std::exchange(tenure_, {}).quietUntil_;
    return wasLast_ && lastNow_ >= quietUntil ? end_ : std::nullopt;
}

std::optional<Tenure> Authority::tenure(base::Millis now) const
{
    return now < tenure_.validUntil_ ? std::optional(tenure_) : std::nullopt;
}

} // namespace allowance

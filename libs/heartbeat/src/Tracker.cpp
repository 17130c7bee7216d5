#include <heartbeat/Tracker.h>

#include <algorithm>

#include <base/Hash.h>

namespace heartbeat {

namespace {

/** Small: a daemon has one backend server, and others send messages to it only by mistake. */
constexpr std::size_t maxEarlyDeregistrations = 16;

} // namespace

std::string_view verdictText(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Accepted:
        return "accepted";
    case Verdict::Stale:
        return "late";
    case Verdict::Deregistered:
        return "left";
    case Verdict::Foreign:
        return "foreign";
    }
    return "unknown";
}

Tracker::Tracker(std::string service, model::Address address)
    : service_(std::move(service))
    , address_(std::move(address))
{}

bool Tracker::isSameIncarnation(const std::string &id, std::optional<std::int64_t> startedAt) const
{
    if (!lastHeartbeat_ || lastHeartbeat_->instanceId_ != id)
        return false;
    return !startedAt || !lastHeartbeat_->startedAt_ || *startedAt == *lastHeartbeat_->startedAt_;
}

bool Tracker::isEarlierIncarnation(std::optional<std::int64_t> startedAt) const
{
    return lastHeartbeat_ && lastHeartbeat_->startedAt_ && startedAt
           && *startedAt < *lastHeartbeat_->startedAt_;
}

bool Tracker::hasDeregisteredEarly(const Heartbeat &message) const
{
    return std::any_of(earlyDeregistrations_.begin(), earlyDeregistrations_.end(),
                       [&](const Deregistration &deregistration) {
                           return deregistration.instanceId_ == message.instanceId_
                                  && (!deregistration.startedAt_ || !message.startedAt_
                                      || *deregistration.startedAt_ == *message.startedAt_);
                       });
}

/** Whether the retired incarnation sent the heartbeat before it announced its end. */
bool Tracker::hasRetiredSince(const Heartbeat &message) const
{
    return retired_ && retired_->instanceHash_ == base::hash64(message.instanceId_)
           && message.startedAt_.value_or(retired_->startedAt_) == retired_->startedAt_
           && message.sequence_ <= retired_->lastSequence_;
}

void Tracker::retire(const std::string &id, std::optional<std::int64_t> startedAt,
                     std::uint64_t lastSequence)
{
    if (startedAt)
        retired_ = {base::hash64(id), *startedAt, lastSequence};
}

bool Tracker::restore(const model::RetiredBackend &retired)
{
    if (retired_ && !retired.supersedes(*retired_))
        return false;
    retired_ = retired;
    if (!lastHeartbeat_ || !hasRetiredSince(*lastHeartbeat_))
        return false;
    lastHeartbeat_.reset();
    return true;
}

Verdict Tracker::process(const Heartbeat &message)
{
    if (message.service_ != service_ || message.address_ != address_)
        return Verdict::Foreign;
    if (hasDeregisteredEarly(message))
        return Verdict::Deregistered;
    if (isEarlierIncarnation(message.startedAt_))
        return Verdict::Stale;
    if (isSameIncarnation(message.instanceId_, message.startedAt_)) {
        if (hasDeregistered_)
            return Verdict::Deregistered;
        if (message.sequence_ <= lastHeartbeat_->sequence_)
            return Verdict::Stale;
    }
    if (hasRetiredSince(message))
        return Verdict::Deregistered;
    const bool wasDraining = isSameIncarnation(message.instanceId_, message.startedAt_)
                             && lastHeartbeat_->isDraining_;
    if (message.isDraining_ && !wasDraining)
        retire(message.instanceId_, message.startedAt_, message.sequence_);
    lastHeartbeat_ = message;
    hasDeregistered_ = false;
    return Verdict::Accepted;
}

Verdict Tracker::process(const Deregistration &message)
{
    if (!lastHeartbeat_ || message.instanceId_ != lastHeartbeat_->instanceId_) {
        earlyDeregistrations_.push_back(message);
        if (earlyDeregistrations_.size() > maxEarlyDeregistrations)
            earlyDeregistrations_.pop_front();
        if (!lastHeartbeat_)
            retire(message.instanceId_, message.startedAt_,
                   model::RetiredBackend::noFurtherSequence);
        return Verdict::Foreign;
    }
    if (!isSameIncarnation(message.instanceId_, message.startedAt_))
        return Verdict::Stale;
    hasDeregistered_ = true;
    retire(message.instanceId_, lastHeartbeat_->startedAt_,
           model::RetiredBackend::noFurtherSequence);
    return Verdict::Accepted;
}

} // namespace heartbeat

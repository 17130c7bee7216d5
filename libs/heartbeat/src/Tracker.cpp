#include <heartbeat/Tracker.h>

#include <algorithm>

namespace heartbeat {

namespace {

/** One backend server is beside a daemon; others send nothing here but by mistake. */
constexpr std::size_t mostLeftUnheard = 16;

} // namespace

std::string_view verdictText(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Accepted:
        return "accepted";
    case Verdict::Late:
        return "late";
    case Verdict::Left:
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
    if (!last_ || last_->instanceId_ != id)
        return false;
    return !startedAt || !last_->startedAt_ || *startedAt == *last_->startedAt_;
}

bool Tracker::isEarlierIncarnation(std::optional<std::int64_t> startedAt) const
{
    return last_ && last_->startedAt_ && startedAt && *startedAt < *last_->startedAt_;
}

bool Tracker::hasLeftUnheard(const Heartbeat &message) const
{
    return std::any_of(leftUnheard_.begin(), leftUnheard_.end(), [&](const Deregistration &left) {
        return left.instanceId_ == message.instanceId_
               && (!left.startedAt_ || !message.startedAt_
                   || *left.startedAt_ == *message.startedAt_);
    });
}

Verdict Tracker::take(const Heartbeat &message)
{
    if (message.service_ != service_ || message.address_ != address_)
        return Verdict::Foreign;
    if (hasLeftUnheard(message))
        return Verdict::Left;
    if (isEarlierIncarnation(message.startedAt_))
        return Verdict::Late;
    if (isSameIncarnation(message.instanceId_, message.startedAt_)) {
        if (hasLeft_)
            return Verdict::Left;
        if (message.sequence_ <= last_->sequence_)
            return Verdict::Late;
    }
    last_ = message;
    hasLeft_ = false;
    return Verdict::Accepted;
}

Verdict Tracker::take(const Deregistration &message)
{
    if (!last_ || message.instanceId_ != last_->instanceId_) {
        leftUnheard_.push_back(message);
        if (leftUnheard_.size() > mostLeftUnheard)
            leftUnheard_.pop_front();
        return Verdict::Foreign;
    }
    if (!isSameIncarnation(message.instanceId_, message.startedAt_))
        return Verdict::Late;
    hasLeft_ = true;
    return Verdict::Accepted;
}

} // namespace heartbeat

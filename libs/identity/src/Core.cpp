#include <identity/Core.h>

#include <algorithm>
#include <utility>

namespace identity {

namespace {

/** Short, as a daemon that is in touch can serve the request at once. */
constexpr base::Millis retryAfterUnconfirmed(200);

bool isWithin(base::Millis age, base::Millis limit)
{
    return age < limit || limit == base::Millis::max();
}

} // namespace

Core::Core(const Limits &limits)
    : limits_(limits)
{}

void Core::configure(std::shared_ptr<const model::Config> config)
{
    config_ = std::move(config);
}

void Core::confirm(base::Millis confirmedAt)
{
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, confirmedAt) : confirmedAt;
}

Decision Core::decide(const Request &request, base::Millis now) const
{
    if (!isActive())
        return Admitted{};
    const auto *customer =
            request.key_ ? config_->customerOf(model::KeyDigest::of(*request.key_)) : nullptr;
    const bool isConfirmed = isWithin(evidenceAge(now), limits_.keyedAge_);
    if (customer != nullptr && isConfirmed)
        return Admitted{customer};
    if (request.isPublic_)
        return Admitted{};
    if (customer != nullptr)
        return unconfirmed();
    // Backend servers send no key: with one, the id of a running request is not enough.
    const bool inherits = request.isChild_ && !request.key_;
    return inherits ? Decision(Admitted{}) : refusal(now);
}

bool Core::isCurrent(base::Millis now) const
{
    return !isActive() || isWithin(evidenceAge(now), limits_.unknownAge_);
}

base::Millis Core::evidenceAge(base::Millis now) const
{
    return confirmedAt_ ? now - *confirmedAt_ : base::Millis::max();
}

/** Refusal of a request whose key, if any, is not in the configuration. */
Decision Core::refusal(base::Millis now) const
{
    return isCurrent(now) ? Decision(Unauthorized{}) : unconfirmed();
}

Unconfirmed Core::unconfirmed()
{
    return {retryAfterUnconfirmed};
}

} // namespace identity

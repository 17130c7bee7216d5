#include "RequestKeys.h"

namespace dock::details {

RequestKeys::RequestKeys(std::size_t maxKeys)
    : maxKeys_(maxKeys)
{}

const once::Key *RequestKeys::find(const std::string &requestId, base::Millis now)
{
    removeExpired(now);
    const auto found = keys_.find(requestId);
    return found != keys_.end() ? &found->second : nullptr;
}

bool RequestKeys::add(const std::string &requestId, const once::Key &key, base::Millis now)
{
    removeExpired(now);
    if (keys_.size() >= maxKeys_)
        return false;
    if (keys_.emplace(requestId, key).second)
        expiries_.push_back({key.expiry_, requestId});
    return true;
}

void RequestKeys::removeExpired(base::Millis now)
{
    while (!expiries_.empty() && expiries_.front().expiresAt_ <= now) {
        keys_.erase(expiries_.front().requestId_);
        expiries_.pop_front();
    }
}

} // namespace dock::details

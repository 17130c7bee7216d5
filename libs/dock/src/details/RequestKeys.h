#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include <base/Millis.h>
#include <once/Key.h>

namespace dock::details {

/**
 * Keys of requests that run once and are named by their callers: a request that comes again, over
 * another connection or after a refusal, has the key that it had. No I/O; not thread-safe.
 */
class RequestKeys
{
public:
    explicit RequestKeys(std::size_t most);

    /** Key under which the request came before; nullptr for a new one. Valid until the next call.
     */
    const once::Key *find(const std::string &requestId, base::Millis now);

    /** Keeps the key until it expires; false when there is no room. */
    bool add(const std::string &requestId, const once::Key &key, base::Millis now);

    std::size_t size() const { return keys_.size(); }

private:
    struct Expiry
    {
        base::Millis at_;
        std::string requestId_;
    };

    void forgetExpired(base::Millis now);

    const std::size_t most_;
    std::unordered_map<std::string, once::Key> keys_;
    std::deque<Expiry> expiries_; ///< in the order in which the keys were issued
};

} // namespace dock::details

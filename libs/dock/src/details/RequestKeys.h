#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include <base/Millis.h>
#include <once/Key.h>

namespace dock::details {

/**
 * Maps the request ids of callers to the keys of non-idempotent requests, so that a repeated
 * request, over another connection or after a refusal, has the same key. No I/O; not thread-safe.
 */
class RequestKeys
{
public:
    explicit RequestKeys(std::size_t maxKeys);

    /** Key of the request id, or nullptr; the pointer is valid until the next call. */
    const once::Key *find(const std::string &requestId, base::Millis now);

    /** Keeps the key until it expires; returns false if there is no room. */
    bool add(const std::string &requestId, const once::Key &key, base::Millis now);

    std::size_t size() const { return keys_.size(); }

private:
    struct Expiry
    {
        base::Millis expiresAt_;
        std::string requestId_;
    };

    void removeExpired(base::Millis now);

    const std::size_t maxKeys_;
    std::unordered_map<std::string, once::Key> keys_;
    std::deque<Expiry> expiries_; ///< in order of issue
};

} // namespace dock::details

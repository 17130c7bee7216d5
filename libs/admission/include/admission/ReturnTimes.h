#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include <base/Millis.h>
#include <base/Random.h>

namespace admission {

/**
 * When callers that are refused for overload should come back.
 *
 * Answers sustained overload: a caller that comes back while it lasts is refused again, or takes
 * the place of another. What is left of an overload is expected to be as long as it has lasted so
 * far, so that a short one costs a short wait; times are spread, since callers that come back
 * together are the next overload. A caller that cannot wait so long is told so at once.
 */
class ReturnTimes
{
public:
    explicit ReturnTimes(std::uint64_t seed)
        : random_(seed)
    {}

    /** Notes a refusal in the scope and tells after what time to come back. */
    base::Millis refused(const std::string &scope, base::Millis now);

    /** Forgets scopes without a refusal lately. */
    void prune(base::Millis now);

    std::size_t scopes() const { return episodes_.size(); }

private:
    /** Refusals of one scope without a long pause between two of them. */
    struct Episode
    {
        base::Millis began_;
        base::Millis last_;
    };

    std::unordered_map<std::string, Episode> episodes_;
    base::Random random_;
};

} // namespace admission

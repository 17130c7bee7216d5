#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include <base/Millis.h>
#include <model/Member.h>

namespace routing {

/** The instance selected for a call. */
struct Choice
{
    std::shared_ptr<const model::Member> member_; ///< never null
    bool isSpilled_ = false;                      ///< the instance is in another data centre
    bool isOtherFree_ = false; ///< another instance is expected to have a free slot
    /** The instance is to hand the call back rather than to let it wait for longer. */
    std::optional<base::Millis> maxWait_;

    bool operator==(const Choice &) const = default;
};

/** Why no instance could be selected. */
enum class NoChoiceReason : std::uint8_t {
    NoInstance,  ///< no serving instance of the service is known
    AllExcluded, ///< every serving instance was excluded by the caller
    AllShed,     ///< every instance sheds this priority
};

/** No instance could be selected. Nothing was sent, so the request has not run. */
struct NoChoice
{
    NoChoiceReason reason_ = NoChoiceReason::NoInstance;
    base::Millis retryAfter_;

    bool operator==(const NoChoice &) const = default;
};

} // namespace routing

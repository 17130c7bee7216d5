#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

#include <admission/Priority.h>
#include <base/Millis.h>
#include <dock/Attempt.h>
#include <model/RequestClass.h>
#include <net/HttpRequest.h>
#include <net/HttpResponse.h>
#include <retry/Event.h>

namespace dock {

/** Sends the answer of one call back to where the call came from. */
using Respond = std::function<void(net::HttpResponse)>;

/** A classified request of a caller, as the entry keeps it until it is answered. */
struct CallInfo
{
    net::HttpRequest request_; ///< target without the service name
    std::string requestId_;    ///< as stated by the caller, where the interface has one
    std::string service_;
    model::RequestClass class_;
    std::string customer_;    ///< "default" unless the configuration names it
    std::string keyCustomer_; ///< as stated by the caller; keys are bound to it
    std::string keyText_;     ///< Idempotency-Key, or empty
    admission::Priority priority_;
    base::Millis receivedAt_;
    base::Millis deadline_; ///< on this daemon's clock
    std::uint32_t depth_ = 0;
    std::uint32_t budget_ = 0;        ///< extra attempts that its class allows a root request
    bool isRetriedAtEachHop_ = false; ///< baseline mode: no budget of the whole chain
    double retryRatio_ = 0;
    std::uint32_t mostRepeats_ = std::numeric_limits<std::uint32_t>::max(); ///< of this call
    std::string contextToken_; ///< of the running call that made this call, or empty
    bool hasUnknownContext_ = false;
    retry::RepeatKind repeat_ = retry::RepeatKind::First; ///< of its next attempt

    /** Whether a backend server made the call within a request that still runs here. */
    bool isChild() const { return !contextToken_.empty(); }
};

/** The attempt for a call, with the time that is left now. */
Attempt attemptOf(const CallInfo &call, std::uint32_t handedDown, base::Millis now);

/** The call without the header fields and body of its request. */
CallInfo withoutContent(const CallInfo &call);

/** Tells the retry decision of a call that starts under the id. */
retry::CallStarted callStarted(retry::CallId id, const CallInfo &call);

} // namespace dock

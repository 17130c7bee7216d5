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
#include <once/Outcome.h>
#include <retry/Event.h>

namespace dock {

/** Sends the response of one call to its caller. */
using Respond = std::function<void(net::HttpResponse)>;

/** A classified request of a caller; the entry keeps it until the response is sent. */
struct CallInfo
{
    net::HttpRequest request_; ///< target without the service name
    std::string requestId_;    ///< from the caller; empty if the interface has none
    std::string service_;
    model::RequestClass class_;
    std::string customer_; ///< "default" if not in the configuration
    /** As sent by the caller, or of its access key if one is required; keys are bound to it. */
    std::string keyCustomer_;
    std::string idempotencyKey_; ///< value of Idempotency-Key; may be empty
    admission::Priority priority_;
    base::Millis receivedAt_;
    base::Millis deadline_; ///< on this daemon's clock
    std::uint32_t depth_ = 0;
    std::uint32_t budget_ = 0;        ///< retries that the class allows a root request
    bool isRetriedAtEachHop_ = false; ///< baseline mode: no budget for the whole call chain
    double retryRatio_ = 0;
    std::uint32_t maxRetries_ = std::numeric_limits<std::uint32_t>::max(); ///< per call
    std::optional<once::NotRun> denial_; ///< set if the caller's access key does not allow it
    std::string contextToken_;           ///< of the parent call running here; may be empty
    bool hasUnknownContext_ = false;     ///< has a context token that no running call here has
    retry::RepeatKind repeat_ = retry::RepeatKind::First; ///< of the next attempt

    /** Whether the backend server made the call for a request that still runs here. */
    bool isChild() const { return !contextToken_.empty(); }
};

/** Creates an attempt for a call; its time left is counted from now. */
Attempt makeAttempt(const CallInfo &call, std::uint32_t retryBudget, base::Millis now);

/** Copy of the call without the header fields and body of its request. */
CallInfo withoutContent(const CallInfo &call);

/** Event that registers a call with the retry core under the given id. */
retry::CallStarted callStartedEvent(retry::CallId id, const CallInfo &call);

} // namespace dock

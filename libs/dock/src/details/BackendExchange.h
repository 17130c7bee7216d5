#pragma once

#include <string>

#include <admission/Event.h>
#include <base/Millis.h>
#include <net/CallResult.h>
#include <net/HttpRequest.h>
#include <once/Outcome.h>

namespace dock {
struct CallInterface;
}

namespace dock::details {

/** The end of a call to the backend server, as the once-only record and as admission see it. */
struct BackendEnd
{
    once::Outcome outcome_;
    admission::Outcome admission_ = admission::Outcome::Ok;
};

/** The request as the backend server gets it. */
net::HttpRequest backendRequest(net::HttpRequest request, base::Millis timeLeft,
                                const std::string &contextToken, const std::string &instanceId,
                                const CallInterface &interface);

/** What the result of the call to the backend server means. */
BackendEnd endOf(net::CallResult result, const CallInterface &interface);

} // namespace dock::details

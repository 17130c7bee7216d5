#pragma once

#include <optional>
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

/** Result of a call to the backend server, for the once-only record and for admission. */
struct BackendResult
{
    once::Outcome outcome_;
    admission::Outcome admissionOutcome_ = admission::Outcome::Ok;
};

/** Converts a request to the form that is sent to the backend server. */
net::HttpRequest backendRequest(net::HttpRequest request, base::Millis timeLeft,
                                const std::string &contextToken, const std::string &instanceId,
                                const CallInterface &interface);

/**
 * How long work takes on the machine of the backend server, from an answer of the server; 1: as
 * usual, none if the answer does not say.
 */
std::optional<double> reportedSlowness(const net::Headers &headers, const CallInterface &interface);

/** Classifies the result of a call to the backend server. */
BackendResult backendResultOf(net::CallResult result, const CallInterface &interface);

} // namespace dock::details

#pragma once

#include <optional>
#include <string>

#include <dock/HeaderNames.h>

namespace dock {

/**
 * What callers and backend servers say in header fields, by the names that they use, and how a
 * request names its destination. The default is the product's own interface.
 */
struct CallInterface
{
    /** Where a request's service stands. */
    enum class Addressing {
        ServiceInPath, ///< first segment of the path
        Routes,        ///< the configuration's routes, by host and path
    };

    Addressing addressing_ = Addressing::ServiceInPath;

    // Each name is in lower case; an empty one is not in use.
    std::string deadlineMs_ = header::deadlineMs; ///< time left to the caller
    std::string context_ = header::context;       ///< of the running call, handed on by its calls
    std::string requestId_; ///< names one request; the backend server repeats it
    /**
     * Set when the id of a call made by a backend server may begin with that of the request it
     * serves: what stands between the two. A hint only: the call counts as made within a request
     * when such a request runs here.
     */
    std::optional<char> requestIdSeparator_;
    std::string callerService_;    ///< service beside the daemon at which the request began
    std::string expectedInstance_; ///< any other instance refuses the request, with status 421
    /** In answers: the backend server has not run the request. Empty: header::outcome says so. */
    std::string notExecuted_;
    std::string signature_; ///< in answers: stands in every success of a backend server
    bool hasFractionalRetryAfter_ = false; ///< seconds may have decimals
    int lostAnswerStatus_ = 504; ///< of a request whose answer was lost before its time was over

    bool hasRoutes() const { return addressing_ == Addressing::Routes; }

    bool operator==(const CallInterface &) const = default;
};

} // namespace dock

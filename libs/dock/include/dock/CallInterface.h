#pragma once

#include <optional>
#include <string>

#include <dock/HeaderNames.h>

namespace dock {

/**
 * Names of the header fields that callers and backend servers use, and how the destination of a
 * request is determined. The default is the interface of Fuchsiadock itself.
 */
struct CallInterface
{
    /** How the service of a request is determined. */
    enum class Addressing {
        ServiceInPath, ///< by the first segment of the path
        Routes,        ///< by host and path, from the routes of the configuration
    };

    Addressing addressing_ = Addressing::ServiceInPath;

    // Field names are in lower case; an empty name means that the field is not used.
    std::string deadlineMsField_ = header::deadlineMs; ///< time left until the caller's deadline
    /** Token of the running call, which the backend server passes on in its child calls. */
    std::string contextField_ = header::context;
    std::string requestIdField_; ///< id of the request; the backend server echoes it
    /**
     * Set when the id of a call made by a backend server may start with the id of the request that
     * it is serving: the character between the two. Only a hint: the call is treated as a child
     * call if a request with that id runs here.
     */
    std::optional<char> requestIdSeparator_;
    std::string keyField_ = header::authorization; ///< access key, in the form "Bearer KEY"
    std::string customerField_ = header::customer; ///< customer, for the backend server
    std::string callerServiceField_;               ///< service of the daemon that received the call
    std::string expectedInstanceField_; ///< other instances refuse the request with status 421
    /** In answers: the request was not run. If empty, header::outcome is used instead. */
    std::string notExecutedField_;
    /**
     * In answers of backend servers: numbers separated by commas, of which the fourth says how long
     * work takes on the server's machine now; 100: as usual. It may be missing.
     */
    std::string loadField_;
    std::string signatureField_; ///< in answers: present in each success of a backend server
    /** Whether a success may have a Content-Encoding; its body is not decoded. */
    bool acceptsContentCoding_ = true;
    bool hasFractionalRetryAfter_ = false; ///< Retry-After may have decimals
    int lostAnswerStatus_ = 504;           ///< status if the answer is lost before the deadline

    bool hasRoutes() const { return addressing_ == Addressing::Routes; }

    bool operator==(const CallInterface &) const = default;
};

} // namespace dock

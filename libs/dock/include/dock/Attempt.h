#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <admission/Priority.h>
#include <base/Millis.h>
#include <net/HttpRequest.h>
#include <once/SubKey.h>
#include <retry/RepeatKind.h>

namespace dock {

/** Operation that an attempt requests from the executor. */
enum class AttemptKind : std::uint8_t {
    Run,          ///< run the request
    QueryOutcome, ///< only report the outcome of the sub-key
    Recall,       ///< refuse the sub-key unless it has been sent to the backend server
};

/** One attempt to run a request at one instance, as sent from the entry to the executor. */
struct Attempt
{
    AttemptKind kind_ = AttemptKind::Run;
    std::string service_;
    std::string requestClass_;
    std::string customer_;
    admission::Priority priority_;
    base::Millis timeLeft_;    ///< until the caller's deadline
    std::uint32_t budget_ = 0; ///< retries for the calls below this one
    std::uint32_t depth_ = 0;  ///< number of calls above this one, up to the root
    /** The executor may hand the request back if it would wait for longer; whole milliseconds. */
    std::optional<base::Millis> maxWait_;
    retry::RepeatKind repeat_ = retry::RepeatKind::First;
    std::uint32_t completedCalls_ = 0;   ///< see retry::RunningCall
    std::optional<once::SubKey> subKey_; ///< set for non-idempotent classes
    std::uint64_t settledBelow_ = 0;     ///< see once::Delegate
    net::HttpRequest request_;           ///< target without the service name

    bool operator==(const Attempt &) const = default;
};

} // namespace dock

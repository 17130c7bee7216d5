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

/** What an attempt asks of the executing daemon. */
enum class AttemptKind : std::uint8_t {
    Run, ///< run the request
    Ask, ///< only tell the outcome of the sub-key
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
    std::uint32_t budget_ = 0; ///< retries handed down for the calls below
    std::uint32_t depth_ = 0;  ///< calls between the root and this one
    retry::RepeatKind repeat_ = retry::RepeatKind::First;
    std::optional<once::SubKey> subKey_; ///< set for non-idempotent classes
    std::uint64_t settledBelow_ = 0;     ///< see once::Delegate
    net::HttpRequest request_;           ///< target without the service name

    bool operator==(const Attempt &) const = default;
};

} // namespace dock

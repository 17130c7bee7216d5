#pragma once

#include <cstdint>
#include <string_view>
#include <variant>

#include <once/HomeEvent.h>
#include <once/Incarnation.h>
#include <once/Key.h>
#include <once/Outcome.h>

namespace once {

/** The request is to be decided on by the Home of this daemon. */
struct DecideHere
{
    Key key_;

    bool operator==(const DecideHere &) const = default;
};

/** The request is to be forwarded to the home of its key. */
struct ForwardToHome
{
    Key key_;

    bool operator==(const ForwardToHome &) const = default;
};

/** Where a request with a key goes, or what its caller is told at once. */
using EntryDecision = std::variant<DecideHere, ForwardToHome, NotRun, Unknown>;

/**
 * Decides at the daemon that a caller spoke to, for a request without a context that is valid here.
 *
 * A key text that was never issued is NotRun: no daemon ever runs a request under it. But with a
 * context token that is not known (any more) it may be a backend server's own key, which an earlier
 * process of this daemon or an ended call may have run: Unknown.
 */
EntryDecision decideAtEntry(const Incarnation &self, std::string_view keyText,
                            bool hasUnknownContext);

/** Whether the text names a request to that service at every daemon, as issued keys do. */
bool isIssuedFor(std::string_view keyText, std::string_view service);

/**
 * Whether a daemon that cannot serve a request must not call it not run: under this key it may have
 * run through another daemon, or within a call that runs or ran here.
 */
bool mayHaveRun(std::string_view keyText, bool hasContext);

/**
 * What the entry tells its caller when the home of the key gave no answer. Always Unknown: an
 * earlier request with the same key may have reached the home through another daemon.
 */
Unknown homeGaveNoAnswer();

} // namespace once

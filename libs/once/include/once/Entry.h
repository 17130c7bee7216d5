#pragma once

#include <cstdint>
#include <string_view>
#include <variant>

#include <once/HomeEvent.h>
#include <once/Incarnation.h>
#include <once/Key.h>
#include <once/Outcome.h>

namespace once {

/** The Home of this daemon decides on the request. */
struct DecideLocally
{
    Key key_;

    bool operator==(const DecideLocally &) const = default;
};

/** The request is forwarded to the home of its key. */
struct ForwardToHome
{
    Key key_;

    bool operator==(const ForwardToHome &) const = default;
};

/** Where a request with a key is decided, or its immediate outcome. */
using EntryDecision = std::variant<DecideLocally, ForwardToHome, NotRun, Unknown>;

/**
 * Decides at the daemon that received a caller's request, if the request has no context valid
 * there.
 *
 * A key text that was never issued yields NotRun: no daemon ever runs a request under it. With an
 * unknown or expired context token it yields Unknown: the text may be a backend server's own key,
 * which an earlier process of this daemon or an ended call may have run.
 */
EntryDecision decideAtEntry(const Incarnation &self, std::string_view keyText,
                            bool hasUnknownContext);

/**
 * Whether the text has the form of an issued key for that service, and so identifies a request at
 * every daemon.
 */
bool isIssuedFor(std::string_view keyText, std::string_view service);

/**
 * Whether a daemon that cannot serve a request must not report it as NotRun, because it may have
 * run under this key through another daemon or within a current or earlier call at this daemon.
 */
bool mayHaveRun(std::string_view keyText, bool hasContext);

/**
 * Outcome for the caller when the home of the key did not answer. Always Unknown: an earlier
 * request with the same key may have reached the home through another daemon.
 */
Unknown homeUnreachable();

} // namespace once

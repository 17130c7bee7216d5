#pragma once

#include <string>
#include <vector>

#include <base/Millis.h>
#include <dock/CallInfo.h>
#include <routing/Choice.h>
#include <tl/expected.hpp>

namespace routing {
class Core;
}

namespace dock::details {

/** Instances that a call has gone to so far. */
using Tried = std::vector<std::string>;

/**
 * Picks an instance for the next attempt of a call: one that was not tried, if there is one.
 * Those to avoid are never picked.
 */
tl::expected<routing::Choice, routing::NoChoice>
selectInstance(routing::Core &routing, const CallInfo &call, const Tried &avoid, const Tried &tried,
               base::Millis now);

} // namespace dock::details

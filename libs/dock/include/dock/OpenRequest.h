#pragma once

#include <string>

#include <dock/CallInfo.h>

namespace dock {

/** A request in progress at the entry. */
struct OpenRequest
{
    CallInfo call_;        ///< without header fields and body
    std::string executor_; ///< id of the daemon that it was last sent to; empty if it is at none
};

} // namespace dock

#pragma once

#include <string>

#include <allowance/Ask.h>

namespace allowance {

/** Command: send an ask to a daemon. */
struct OutgoingAsk
{
    std::string target_; ///< id; may be this daemon's own
    Ask ask_;

    bool operator==(const OutgoingAsk &) const = default;
};

} // namespace allowance

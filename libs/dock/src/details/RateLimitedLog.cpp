#include "RateLimitedLog.h"

#include <utility>

#include <events/Log.h>

namespace dock::details {

bool RateLimitedLog::admits(base::Millis now)
{
    if (tokens_.take(now))
        return true;
    ++droppedLines_;
    return false;
}

void RateLimitedLog::write(const events::Event &event, std::string detail)
{
    if (droppedLines_ > 0)
        detail += " dropped=" + std::to_string(std::exchange(droppedLines_, 0));
    events::log(event, detail);
}

} // namespace dock::details

#include "details/Selection.h"

#include <routing/Core.h>

namespace dock::details {

tl::expected<routing::Choice, routing::NoChoice>
selectInstance(routing::Core &routing, const CallInfo &call, const Tried &avoid, const Tried &tried,
               base::Millis now)
{
    if (!tried.empty()) {
        auto excluded = avoid;
        excluded.insert(excluded.end(), tried.begin(), tried.end());
        if (auto fresh = routing.choose(call.service_, call.priority_, excluded, now))
            return fresh;
    }
    return routing.choose(call.service_, call.priority_, avoid, now);
}

} // namespace dock::details

#pragma once

#include <variant>

#include <heartbeat/Deregistration.h>
#include <heartbeat/Heartbeat.h>

namespace dock {

/** What a backend server tells the daemon beside it on the platform. */
using BackendMessage = std::variant<heartbeat::Heartbeat, heartbeat::Deregistration>;

} // namespace dock

#pragma once

#include <variant>

#include <heartbeat/Deregistration.h>
#include <heartbeat/Heartbeat.h>

namespace dock {

/** Message from a backend server to the daemon beside it, on the platform. */
using BackendMessage = std::variant<heartbeat::Heartbeat, heartbeat::Deregistration>;

} // namespace dock

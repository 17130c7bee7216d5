#pragma once

#include <string>
#include <string_view>

#include <events/Event.h>

namespace events {

/** Sets up logging of this process to standard error; level is debug, info, warning or error. */
void setUpLog(std::string_view level, std::string_view daemonId);

/** Writes one line "E<number> <name> <detail>". Safe from any thread. */
void log(const Event &event, const std::string &detail);

} // namespace events

#pragma once

#include <string>
#include <string_view>

#include <events/Event.h>

namespace events {

/** Configures logging to standard output from a level: debug, info, warning or error. */
void setUpLog(std::string_view level, std::string_view daemonId);

/** Whether lines of this event are written; spares the making of frequent ones. */
bool isLogged(const Event &event);

/** Writes one line "E<number> <name> <detail>". Thread-safe. */
void log(const Event &event, const std::string &detail);

} // namespace events

#pragma once

#include <string>
#include <string_view>

#include <base/Millis.h>
#include <events/Event.h>

namespace events {

/** Configures logging to standard output from a level: debug, info, warning or error. */
void setUpLog(std::string_view level, std::string_view daemonId);

/** Whether lines of this event are written; spares the making of frequent ones. Thread-safe. */
bool isLogged(const Event &event);

/**
 * Writes one line "E<number> <name> <detail>". Never waits for the reader of the log: lines that it
 * does not take are kept within a bound, further ones are dropped and reported by
 * events::logLinesDropped. Thread-safe.
 */
void log(const Event &event, const std::string &detail);

/**
 * Writes kept lines that the reader takes now, and reports those that were dropped; to be called
 * now and then. Thread-safe.
 */
void flushLog();

/**
 * Waits for the reader to take the kept lines, for at most `time`, and reports those that were
 * dropped. Thread-safe; other threads that log meanwhile wait too.
 */
void finishLog(base::Millis time);

} // namespace events

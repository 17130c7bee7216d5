#pragma once

#include <functional>
#include <optional>
#include <string>

#include <settings/Fault.h>
#include <settings/Settings.h>

namespace settings {

/** Value of an environment variable; null if it is not set. */
using Environment = std::function<const char *(const char *name)>;

/**
 * Seconds, as a decimal number, from SIGTERM until the platform kills the process. Sets
 * `drainTimeout_`, less the time that the process needs to leave.
 */
inline constexpr const char *gracePeriodVariable = "FUCHSIADOCK_GRACE_SECONDS";

/** Applies the environment variables that take precedence over the settings file. */
std::optional<Fault> applyEnvironment(Settings &settings, const Environment &environment);

} // namespace settings

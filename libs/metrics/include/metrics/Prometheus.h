#pragma once

#include <string>
#include <string_view>

#include <metrics/Snapshot.h>

namespace metrics {

/** Renders a snapshot in the Prometheus text exposition format 0.0.4, times in seconds. */
std::string renderPrometheus(const Snapshot &snapshot);

/** Escapes backslash, quote and line feed, and replaces other control bytes by '?'. */
std::string escapedLabelValue(std::string_view value);

} // namespace metrics

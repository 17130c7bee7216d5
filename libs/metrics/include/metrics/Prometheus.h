#pragma once

#include <string>
#include <string_view>

#include <metrics/Snapshot.h>

namespace metrics {

/** Text in the Prometheus exposition format 0.0.4; times are in seconds. */
std::string renderPrometheus(const Snapshot &snapshot);

/** Label value with backslash, quote and line feed escaped and other control bytes replaced. */
std::string escapedLabelValue(std::string_view value);

} // namespace metrics

#pragma once

#include <string_view>

/** Header fields and values that callers, backend servers and daemons exchange. */
namespace bench::protocol {

inline constexpr std::string_view idempotencyKey = "Idempotency-Key";
inline constexpr std::string_view deadlineMs = "Fuchsiadock-Deadline-Ms";
inline constexpr std::string_view customer = "Fuchsiadock-Customer";
inline constexpr std::string_view context = "Fuchsiadock-Context";
inline constexpr std::string_view outcome = "Fuchsiadock-Outcome";
inline constexpr std::string_view nextKey = "Fuchsiadock-Next-Key";

inline constexpr std::string_view complete = "complete";
inline constexpr std::string_view notRun = "not-run";
inline constexpr std::string_view unknown = "unknown";

} // namespace bench::protocol

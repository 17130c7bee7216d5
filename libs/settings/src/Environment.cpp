#include <settings/Environment.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace settings {

namespace {

constexpr double maxGraceSeconds = 3600;
constexpr double millisPerSecond = 1000;

/**
 * For the last answers to be written, the members to be told, and the process to exit: less than
 * the last sixth of the grace period, in which the platform expects requests to be cut off.
 */
base::Millis timeToLeave(base::Millis grace)
{
    constexpr std::int64_t shareOfGrace = 7;
    return std::clamp(grace / shareOfGrace, base::Millis(500), base::Millis(800));
}

} // namespace

std::optional<Fault> applyEnvironment(Settings &settings, const Environment &environment)
{
    const auto *value = environment(gracePeriodVariable);
    if (value == nullptr || *value == '\0')
        return std::nullopt;
    const std::string_view text(value);
    double seconds = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    const bool isNumber = status == std::errc() && end == text.data() + text.size();
    if (!isNumber || !(seconds > 0) || seconds > maxGraceSeconds)
        return Fault{"environment", 0, gracePeriodVariable,
                     "must be a number of seconds above 0 and up to 3600, not '" + std::string(text)
                             + "'"};
    const base::Millis grace(std::llround(seconds * millisPerSecond));
    settings.drainTimeout_ = std::max(base::Millis(0), grace - timeToLeave(grace));
    return std::nullopt;
}

} // namespace settings

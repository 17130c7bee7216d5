#include <base/Clock.h>

#include <chrono>
#include <ctime>

namespace base {

Millis monotonicNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return Millis::fromMicros(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

Millis elapsedNow()
{
    timespec time = {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    constexpr std::int64_t microsPerSecond = 1'000'000;
    constexpr std::int64_t nanosPerMicro = 1000;
    return Millis::fromMicros(time.tv_sec * microsPerSecond + time.tv_nsec / nanosPerMicro);
}

Millis wallNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Millis::fromMicros(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace base

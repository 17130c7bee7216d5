#include <base/Clock.h>

#include <chrono>

namespace base {

Millis monotonicNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return Millis::fromMicros(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

Millis wallNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Millis::fromMicros(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace base

#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>
#include <logclient/TokenBucket.h>

namespace events {
struct Event;
}

namespace dock::details {

/** Limits log lines of one kind to a burst of 50, refilled at 50 per second. */
class RateLimitedLog
{
public:
    /** Whether a line may be written now: takes a token, or counts the line as dropped. */
    bool admits(base::Millis now);

    /** Writes a line after admits() returned true, with the number of lines dropped before it. */
    void write(const events::Event &event, std::string detail);

private:
    static constexpr std::uint32_t burstLines = 50;
    static constexpr base::Millis refillInterval = base::Millis(20);

    logclient::TokenBucket tokens_{burstLines, refillInterval};
    std::uint64_t droppedLines_ = 0; ///< since the last written line
};

} // namespace dock::details

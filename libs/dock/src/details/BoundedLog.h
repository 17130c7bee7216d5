#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>
#include <logclient/TokenBucket.h>

namespace events {
struct Event;
}

namespace dock::details {

/** Log lines of one kind, at most 50 a second. */
class BoundedLog
{
public:
    /** Whether a line may be written; one that may not is counted as dropped. */
    bool admits(base::Millis now);

    /** Writes a line that was admitted, with the number of those dropped since the last one. */
    void write(const events::Event &event, std::string detail);

private:
    static constexpr std::uint32_t burst = 50;
    static constexpr base::Millis interval = base::Millis(20);

    logclient::TokenBucket lines_{burst, interval};
    std::uint64_t dropped_ = 0; ///< lines left out since the last one
};

} // namespace dock::details

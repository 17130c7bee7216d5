#pragma once

#include <cstdint>
#include <optional>

#include <balance/LoadReport.h>
#include <base/Millis.h>

namespace balance {

/** Hand-backs of one call after which it waits in the queue of an instance. */
inline constexpr std::uint32_t maxHandBacks = 4;

/** Expected wait of a request behind `ahead` queued ones while all slots are taken. */
base::Millis expectedWait(const LoadReport &load, std::uint32_t ahead);

/**
 * Whether a request is handed back instead of queued: it would wait for longer than maxWait, the
 * wait that the sender expects elsewhere plus the time of another attempt. Without maxWait it is
 * queued.
 */
bool isHandedBack(const LoadReport &load, std::uint32_t ahead, std::optional<base::Millis> maxWait);

} // namespace balance

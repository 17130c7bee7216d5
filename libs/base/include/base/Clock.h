#pragma once

#include <base/Millis.h>

namespace base {

/** Monotonic time since an arbitrary start, for use within this process. Thread-safe. */
Millis monotonicNow();

/** Like monotonicNow(), but it also counts the time while the machine was suspended. Thread-safe.
 */
Millis elapsedNow();

/** Wall-clock time since the Unix epoch; only for logs and records, never for decisions. */
Millis wallNow();

} // namespace base

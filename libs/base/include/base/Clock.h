#pragma once

#include <base/Millis.h>

namespace base {

/** Monotonic time since an arbitrary start, for use within this process. Thread-safe. */
Millis monotonicNow();

/** Wall-clock time since the Unix epoch; only for logs and records, never for decisions. */
Millis wallNow();

} // namespace base

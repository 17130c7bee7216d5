#pragma once

#include <base/Millis.h>

namespace base {

/** Monotonic time of this process since an arbitrary start. Safe to call from any thread. */
Millis monotonicNow();

/** Wall-clock time since the Unix epoch; only for logs and records, never for decisions. */
Millis wallNow();

} // namespace base

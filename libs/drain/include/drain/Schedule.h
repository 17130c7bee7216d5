#pragma once

#include <base/Millis.h>

namespace drain {

/** Times of a drain, counted from its begin. */
struct Schedule
{
    base::Millis timeout_;  ///< what is still open is answered by the daemon itself then
    base::Millis handover_; ///< latest end of accepting work for the backend server

    bool operator==(const Schedule &) const = default;
};

} // namespace drain

#pragma once

#include <cstddef>

namespace drain {

/** What this daemon has accepted and not yet delivered. */
struct OpenWork
{
    std::size_t callerRequests_ = 0;     ///< of callers; not answered
    std::size_t backendCalls_ = 0;       ///< made by the local backend server; not answered
    std::size_t runs_ = 0;               ///< queued for or running on the local backend server
    std::size_t undeliveredAnswers_ = 0; ///< to callers and other daemons; not completely sent

    bool operator==(const OpenWork &) const = default;
};

} // namespace drain

#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>
#include <rendezvous/Meeting.h>

namespace rendezvous {

/** Who a daemon is and how often it uses the topic of meetings. */
struct KeyedOptions
{
    std::string topic_;
    Meeting self_;
    std::uint64_t seed_ = 1;
    base::Millis firstRetry_ = base::Millis(200); ///< of a failed write or read; doubles
    base::Millis longestRetry_ = base::Millis(2000);
};

} // namespace rendezvous

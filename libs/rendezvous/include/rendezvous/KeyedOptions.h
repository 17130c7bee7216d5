#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>
#include <rendezvous/SeedRecord.h>

namespace rendezvous {

/** The record that a daemon publishes, the topic, and the retry delays. */
struct KeyedOptions
{
    std::string topic_;
    SeedRecord self_;
    std::uint64_t seed_ = 1;
    base::Millis firstRetryDelay_ = base::Millis(200); ///< after a failed write or read; doubles
    base::Millis maxRetryDelay_ = base::Millis(2000);
};

} // namespace rendezvous

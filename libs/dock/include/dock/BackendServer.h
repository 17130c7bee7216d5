#pragma once

#include <cstdint>
#include <string>

#include <model/Address.h>
#include <model/Member.h>

namespace dock {

/** The local backend server, as it has announced itself, and its state. */
struct BackendServer
{
    std::string service_;
    model::Address address_;
    std::string instanceId_; ///< named in requests as the expected instance; empty off the platform
    std::uint32_t slots_ = 0;       ///< requests that it runs at once
    std::uint32_t connections_ = 0; ///< connections that it accepts; 0: not limited
    model::ServingState serving_ = model::ServingState::Absent;

    bool operator==(const BackendServer &) const = default;
};

} // namespace dock

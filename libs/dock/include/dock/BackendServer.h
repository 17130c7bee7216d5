#pragma once

#include <cstdint>
#include <string>

#include <model/Address.h>
#include <model/Member.h>

namespace dock {

/** What the backend server beside the daemon has announced. */
struct BackendServer
{
    std::string service_;
    model::Address address_;
    std::string instanceId_;        ///< expected by its name on the platform, else empty
    std::uint32_t slots_ = 0;       ///< requests that it runs at once
    std::uint32_t connections_ = 0; ///< connections that it accepts; 0: not limited
    model::ServingState serving_ = model::ServingState::Absent;

    bool operator==(const BackendServer &) const = default;
};

} // namespace dock

#pragma once

#include <cstdint>
#include <string>

namespace model {

/** A service that operators have created; its instances announce themselves at run time. */
struct Service
{
    std::string name_;
    std::uint32_t maxConnections_ = 0; ///< that one backend server accepts; 0: not stated

    bool operator==(const Service &) const = default;
};

} // namespace model

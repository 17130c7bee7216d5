#pragma once

#include <cstdint>
#include <string>

namespace model {

/** A service created by operators; its instances register at run time. */
struct Service
{
    std::string name_;
    std::uint32_t maxConnections_ = 0; ///< accepted by one backend server; 0: not specified

    bool operator==(const Service &) const = default;
};

} // namespace model

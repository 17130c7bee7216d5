#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <admission/Level.h>
#include <routing/LoadStatus.h>

namespace routing {

/** State of one instance in the subset of this daemon, for status pages. */
struct InstanceStatus
{
    std::string id_;
    std::string dataCentre_;
    std::uint32_t inFlight_ = 0;
    admission::Level level_;
    bool isEjected_ = false;
    bool isDraining_ = false;
    std::optional<LoadStatus> load_; ///< none if no report is known

    bool operator==(const InstanceStatus &) const = default;
};

} // namespace routing

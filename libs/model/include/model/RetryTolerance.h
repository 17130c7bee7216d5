#pragma once

#include <cstdint>
#include <string>

namespace model {

/** Limits on the retries of a request class, over the whole call chain of a request. */
struct RetryTolerance
{
    std::string requestClass_;
    std::uint32_t budget_ = 0; ///< additional attempts per request over all hops
    double ratio_ = 0.1;       ///< retries per first attempt of a customer and class, 0 to 1

    bool operator==(const RetryTolerance &) const = default;
};

} // namespace model

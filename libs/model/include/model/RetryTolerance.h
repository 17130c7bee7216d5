#pragma once

#include <cstdint>
#include <string>

namespace model {

/** How much retrying a request class may cause, over the whole call chain of one request. */
struct RetryTolerance
{
    std::string requestClass_;
    std::uint32_t budget_ = 0; ///< extra attempts for one request over all hops
    double ratio_ = 0.1;       ///< retries for each first call of a customer and class, 0 to 1

    bool operator==(const RetryTolerance &) const = default;
};

} // namespace model

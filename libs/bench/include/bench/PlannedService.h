#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <bench/ServiceTime.h>

namespace bench {

/** Service of an experiment; all its instances are configured alike. */
struct PlannedService
{
    std::string name_;
    std::uint32_t instances_ = 1;
    std::uint32_t slots_ = 8;
    std::uint32_t connections_ = 64;
    std::size_t queueLimit_ = 64;
    ServiceTime serviceTime_;
    double contentionFactor_ = 0.0;
    std::vector<std::string> calls_; ///< in the format of CallSpec::parse()

    bool operator==(const PlannedService &) const = default;
};

} // namespace bench

#pragma once

#include <cstdint>
#include <string_view>

namespace allowance {

/** Number of groups of customers; each has its own allotter. */
constexpr std::uint32_t groupCount = 4;

/** Group of a customer, equal at all daemons. */
std::uint32_t groupOf(std::string_view customer);

} // namespace allowance

#pragma once

#include <cstdint>

namespace model {

/** Number of accepted release notes folded so far; 0 before the first one. Only ever grows. */
using Revision = std::uint64_t;

} // namespace model

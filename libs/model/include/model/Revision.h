#pragma once

#include <cstdint>

namespace model {

/**
 * Names a configuration: one more than the log offset of the newest accepted release note; 0 before
 * the first one. Only ever grows, with steps when records that change nothing lie between.
 */
using Revision = std::uint64_t;

} // namespace model

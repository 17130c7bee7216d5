#pragma once

#include <cstdint>

namespace model {

/**
 * Version of a configuration: the log offset of the newest accepted release note plus one; 0 before
 * the first one. Strictly increasing, with gaps where log records change nothing.
 */
using Revision = std::uint64_t;

} // namespace model

#pragma once

#include <cstddef>

namespace once {

/** How much a Home or an Executor keeps. */
struct RecordCounts
{
    std::size_t records_ = 0;
    std::size_t waiting_ = 0;     ///< exchanges that wait for an outcome
    std::size_t answerBytes_ = 0; ///< kept answers together
    std::size_t homes_ = 0;       ///< an Executor only

    bool operator==(const RecordCounts &) const = default;
};

} // namespace once

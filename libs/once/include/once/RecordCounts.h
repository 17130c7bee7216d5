#pragma once

#include <cstddef>

namespace once {

/** Resource usage of a Home or an Executor. */
struct RecordCounts
{
    std::size_t records_ = 0;
    std::size_t waiting_ = 0;     ///< exchanges that wait for an outcome
    std::size_t answerBytes_ = 0; ///< total of the retained answers
    std::size_t homes_ = 0;       ///< only for an Executor

    bool operator==(const RecordCounts &) const = default;
};

} // namespace once

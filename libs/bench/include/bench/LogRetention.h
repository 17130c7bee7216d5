#pragma once

#include <cstddef>

#include <base/Millis.h>

namespace bench {

/** How long the log keeps its records. */
struct LogRetention
{
    std::size_t maxRecords_ = 1'000'000; ///< for each stream
    base::Millis maxAge_ = base::Millis::max();

    bool operator==(const LogRetention &) const = default;
};

} // namespace bench

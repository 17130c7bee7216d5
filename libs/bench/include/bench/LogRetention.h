#pragma once

#include <cstddef>

#include <base/Millis.h>

namespace bench {

/** Limits on the records that the log retains. */
struct LogRetention
{
    std::size_t maxRecords_ = 1'000'000; ///< per stream
    base::Millis maxAge_ = base::Millis::max();

    bool operator==(const LogRetention &) const = default;
};

} // namespace bench

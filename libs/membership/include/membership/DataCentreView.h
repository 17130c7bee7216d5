#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace membership {

/** Summary of the sender's view of one data centre. */
struct DataCentreView
{
    std::string dataCentre_;
    base::Millis age_;       ///< time since the sender's data centre got an answer from it
    std::uint64_t hash_ = 0; ///< over all live members; a mismatch triggers a DigestRequest

    bool operator==(const DataCentreView &) const = default;
};

} // namespace membership

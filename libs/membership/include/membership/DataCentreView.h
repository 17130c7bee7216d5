#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace membership {

/** What the sender of a datagram holds on one data centre, in short. */
struct DataCentreView
{
    std::string dataCentre_;
    base::Millis age_; ///< since any daemon of the sender's data centre had an answer from there
    std::uint64_t hash_ = 0; ///< of all live members; another hash calls for a DigestRequest

    bool operator==(const DataCentreView &) const = default;
};

} // namespace membership

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <base/Millis.h>
#include <model/Address.h>

namespace rendezvous {

/** Identity of this daemon and limits of its use of the rendezvous stream. */
struct Options
{
    std::string selfId_;
    std::string dataCentre_;
    model::Address controlAddress_;
    std::uint64_t seed_ = 1;
    std::size_t publishersPerDataCentre_ = 2;
    std::size_t maxSeeds_ = 16;                            ///< from one read
    base::Millis refreshInterval_ = base::Millis(600'000); ///< mean, of a publisher
    base::Millis appendInterval_ = base::Millis(60'000);   ///< minimum between two appends
    base::Millis appendSpread_ = base::Millis(30'000);     ///< maximum delay before an append
    base::Millis firstReadDelay_ = base::Millis(1'000);    ///< doubles up to maxReadDelay_
    base::Millis maxReadDelay_ = base::Millis(60'000);
};

} // namespace rendezvous

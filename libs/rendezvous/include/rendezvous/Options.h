#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <base/Millis.h>
#include <model/Address.h>

namespace rendezvous {

/** Who this daemon is and how often it uses the rendezvous stream. */
struct Options
{
    std::string selfId_;
    std::string dataCentre_;
    model::Address controlAddress_;
    std::uint64_t seed_ = 1;
    std::size_t publishersPerDataCentre_ = 2;
    std::size_t maxSeeds_ = 16;                            ///< taken from one read
    base::Millis refreshInterval_ = base::Millis(600'000); ///< of a publisher
    base::Millis appendInterval_ = base::Millis(60'000);   ///< least time between own records
    base::Millis appendSpread_ = base::Millis(30'000);     ///< a lone daemon waits up to this
    base::Millis firstReadDelay_ = base::Millis(1'000);    ///< doubles up to maxReadDelay_
    base::Millis maxReadDelay_ = base::Millis(60'000);
};

} // namespace rendezvous

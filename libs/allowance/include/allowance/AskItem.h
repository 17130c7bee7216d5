#pragma once

#include <cstdint>
#include <string>

namespace allowance {

/** What a daemon holds and needs for one customer. It has lowered its part to this before. */
struct AskItem
{
    std::string customer_;
    double reserveRate_ = 0;           ///< a second; used while the allotter is silent
    double stock_ = 0;                 ///< tokens it may hold at most
    double level_ = 0;                 ///< tokens it holds
    double returned_ = 0;              ///< tokens given back, covered by the former stock
    double demand_ = 0;                ///< requests a second, refused ones too
    std::uint32_t held_ = 0;           ///< requests that wait for a token
    std::uint64_t answeredNumber_ = 0; ///< of its last ask for this customer that was answered

    bool operator==(const AskItem &) const = default;
};

} // namespace allowance

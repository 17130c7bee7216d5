#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <allowance/Grant.h>
#include <base/Millis.h>

namespace allowance {

/** Answer of the allotter: one grant for each item whose customer it knows. */
struct Granted
{
    std::vector<Grant> grants_;
    base::Millis nextAskIn_; ///< time to the next ask for parts in use

    /** Silence after this answer before reserve rates are used. */
    base::Millis reserveAfter() const { return nextAskIn_ * 5 / 2; }

    bool operator==(const Granted &) const = default;
};

/** The asked daemon is not the allotter of the group. */
struct NotAllotter
{
    std::string hint_; ///< id of the daemon that may be; empty: unknown

    bool operator==(const NotAllotter &) const = default;
};

/** Answer to an Ask. */
struct Answer
{
    std::uint32_t group_ = 0;
    std::uint64_t number_ = 0; ///< of the ask
    std::variant<Granted, NotAllotter> body_;

    bool operator==(const Answer &) const = default;
};

} // namespace allowance

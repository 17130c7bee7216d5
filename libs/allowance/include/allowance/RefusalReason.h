#pragma once

#include <cstdint>

namespace allowance {

/** Why a request of a customer with an allowance is refused. */
enum class RefusalReason : std::uint8_t {
    Spent,   ///< the customer asks for more than its allowance
    Unknown, ///< no allotter is reachable, and this daemon holds no tokens
};

} // namespace allowance

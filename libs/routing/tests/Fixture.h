#pragma once

#include <string>
#include <vector>

#include <model/Member.h>
#include <routing/Core.h>

namespace routing::tests {

/** Instance of the service "wallet" with the id "w0", "w1" and so on. */
inline model::Member walletInstance(int index, const std::string &dataCentre = "a",
                                    std::uint32_t slots = 10)
{
    return {.id_ = "w" + std::to_string(index),
            .generation_ = 1,
            .region_ = "r",
            .dataCentre_ = dataCentre,
            .service_ = "wallet",
            .slots_ = slots,
            .serving_ = model::ServingState::Ready};
}

inline Options localOptions()
{
    return {.daemonId_ = "self", .dataCentre_ = "a", .region_ = "r"};
}

} // namespace routing::tests

#pragma once

#include <string>

#include <model/Address.h>

namespace admin {

/** Where the administration API listens and who may use it. */
struct AdminOptions
{
    model::Address listen_{"127.0.0.1", 0};
    std::string token_; ///< expected as `Authorization: Bearer TOKEN`; must not be empty
};

} // namespace admin

#pragma once

#include <string>

#include <model/Address.h>

namespace admin {

/** Listen address and access token of the administration API. */
struct AdminOptions
{
    model::Address listen_{"127.0.0.1", 0};
    std::string token_; ///< expected as `Authorization: Bearer TOKEN`; must not be empty
};

} // namespace admin

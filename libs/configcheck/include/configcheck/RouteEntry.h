#pragma once

#include <string>

#include <model/Route.h>

namespace configcheck {

/** A route and the host for which it is written. */
struct RouteEntry
{
    std::string host_;
    model::Route route_;

    bool operator==(const RouteEntry &) const = default;
};

} // namespace configcheck

#pragma once

#include <string>

namespace model {

/** A service that operators have created; its instances announce themselves at run time. */
struct Service
{
    std::string name_;

    bool operator==(const Service &) const = default;
};

} // namespace model

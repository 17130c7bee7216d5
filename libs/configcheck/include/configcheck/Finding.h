#pragma once

#include <string>

#include <configcheck/Severity.h>

namespace configcheck {

/** Something wrong with an entry of a configuration. */
struct Finding
{
    Severity severity_ = Severity::Error;
    std::string place_; ///< of the entry; empty for the whole configuration
    std::string text_;

    auto operator<=>(const Finding &) const = default;
};

} // namespace configcheck

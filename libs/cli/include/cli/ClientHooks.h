#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <base/Error.h>
#include <configcheck/Draft.h>

namespace cli {

/** Functions that the client commands need from other parts of the program. */
struct ClientHooks
{
    /** Checks a settings file; returns one line for each fault, none if it is valid. */
    std::function<std::vector<std::string>(const std::string &file)> checkSettings_;

    /** Decodes a configuration of the users' platform; fails with "bad-config". */
    std::function<base::Result<configcheck::Draft>(std::string_view record)> decodePlatformConfig_;
};

} // namespace cli

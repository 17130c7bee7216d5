#pragma once

#include <functional>
#include <string>
#include <vector>

namespace cli {

/** Functions that the client commands need from other parts of the program. */
struct ClientHooks
{
    /** Checks a settings file; returns one line for each fault, none if it is valid. */
    std::function<std::vector<std::string>(const std::string &file)> checkSettings_;
};

} // namespace cli

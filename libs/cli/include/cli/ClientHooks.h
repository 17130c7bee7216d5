#pragma once

#include <functional>
#include <string>
#include <vector>

namespace cli {

/** What the client commands need from other parts of the program. */
struct ClientHooks
{
    /** The faults of a settings file, one line each; empty when there is none. */
    std::function<std::vector<std::string>(const std::string &file)> checkSettings_;
};

} // namespace cli

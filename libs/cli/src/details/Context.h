#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <cli/ClientHooks.h>

namespace cli::details {

/** Arguments, hooks and output streams of a command. */
struct Context
{
    const std::vector<std::string> &arguments_; ///< without the name of the command
    const ClientHooks &hooks_;
    std::ostream &out_;
    std::ostream &err_;
};

} // namespace cli::details

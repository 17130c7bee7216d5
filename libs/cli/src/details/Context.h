#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include <cli/ClientHooks.h>

namespace cli::details {

/** Arguments, hooks and streams of a command. */
struct Context
{
    const std::vector<std::string> &arguments_; ///< without the name of the command
    const ClientHooks &hooks_;
    std::istream &in_;
    std::ostream &out_;
    std::ostream &err_;
};

} // namespace cli::details

#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <cli/ClientHooks.h>

namespace cli::details {

/** What every command gets: its arguments, where to write, and the hooks. */
struct Context
{
    const std::vector<std::string> &arguments_; ///< without the words of the command itself
    const ClientHooks &hooks_;
    std::ostream &out_;
    std::ostream &err_;
};

} // namespace cli::details

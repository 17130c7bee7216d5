#pragma once

#include <functional>
#include <string>

#include <base/Error.h>
#include <cxxopts.hpp>
#include <model/Address.h>

namespace bench {

/** Exit codes of all subcommands. */
namespace exitcode {

inline constexpr int success = 0;
inline constexpr int failure = 1; ///< a target was missed or an operation failed
inline constexpr int usage = 2;

} // namespace exitcode

/**
 * Parses the arguments and passes them to the body.
 *
 * Prints the help for --help, and an error if the arguments are invalid or the body fails.
 */
int runWithOptions(cxxopts::Options &options, int argc, char **argv,
                   const std::function<base::Result<int>(const cxxopts::ParseResult &)> &body);

/** Parses addresses separated by commas; fails with "bad-usage" if there are none. */
base::Result<std::vector<model::Address>> parseAddresses(const std::string &text);

} // namespace bench

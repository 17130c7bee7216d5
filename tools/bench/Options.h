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
inline constexpr int failure = 1; ///< ran, but a target was missed or an operation failed
inline constexpr int usage = 2;

} // namespace exitcode

/**
 * Parses the arguments and runs the body with them.
 *
 * Prints the help on --help, and the error when arguments or the body fail.
 */
int withOptions(cxxopts::Options &options, int argc, char **argv,
                const std::function<base::Result<int>(const cxxopts::ParseResult &)> &body);

/** Addresses separated by commas. */
base::Result<std::vector<model::Address>> parseAddresses(const std::string &text);

} // namespace bench

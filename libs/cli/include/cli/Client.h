#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include <cli/ClientHooks.h>

namespace cli {

/** Whether the first argument of the command line names a client command. */
bool isClientCommand(std::string_view word);

/**
 * Runs a client command with its arguments (without the program's name) and returns the exit code.
 * Blocks until the command has ended. Only commands on keys read from `in`.
 */
int runClient(const std::vector<std::string> &arguments, const ClientHooks &hooks, std::istream &in,
              std::ostream &out, std::ostream &err);

/** Overload for main(): takes its arguments unchanged and uses the standard streams. */
int runClient(int argc, const char *const *argv, const ClientHooks &hooks);

/** Help text of the program with one line for each client command. */
std::string_view clientSummary();

} // namespace cli

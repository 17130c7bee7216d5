#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include <cli/ClientHooks.h>

namespace cli {

/** Whether the first word of the command line belongs to runClient(). */
bool isClientCommand(std::string_view word);

/**
 * Runs `note`, `status` or `settings` with their arguments (without the program's name) and returns
 * the exit code. Blocks until the command has ended.
 */
int runClient(const std::vector<std::string> &arguments, const ClientHooks &hooks,
              std::ostream &out, std::ostream &err);

/** The same for main(): the program's arguments as they are, on the standard streams. */
int runClient(int argc, const char *const *argv, const ClientHooks &hooks);

/** One line for each client command, for the help of the program. */
std::string_view clientSummary();

} // namespace cli

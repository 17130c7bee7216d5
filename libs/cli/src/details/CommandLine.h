#pragma once

#include <string>
#include <vector>

#include "details/AdminConnection.h"
#include "details/Context.h"
#include <base/Error.h>

namespace cli::details {

/** What one command accepts and says about itself. */
struct CommandSpec
{
    const char *name_;       ///< such as "note publish"
    const char *positional_; ///< such as "FILE"; empty for none
    const char *summary_;    ///< one line
    const char *details_;    ///< paragraphs for --help
    bool usesAdmin_;         ///< takes --admin and --token-file
    bool takesTimeout_ = false;
};

/** Arguments of one command. */
struct CommandLine
{
    std::vector<std::string> positional_;
    std::string admin_;
    std::string tokenFile_;
    int timeoutSeconds_ = 0;
    bool isHelp_ = false;
    std::string help_;
};

/** Parses the arguments; fails with "bad-usage". */
base::Result<CommandLine> parse(const CommandSpec &spec, const std::vector<std::string> &arguments);

/** Address and token of the daemon that the command line names. */
struct AdminTarget
{
    model::Address address_;
    std::string token_;
};

/** Reads the token file; fails with "bad-usage". */
base::Result<AdminTarget> adminTarget(const CommandLine &line);

/** A whole file as text; fails with "bad-usage". */
base::Result<std::string> readFile(const std::string &path);

/** Writes the error with a hint how to get help, and returns the exit code. */
int reportUsage(const Context &context, const CommandSpec &spec, const base::Error &error);

/** Parses the arguments and calls the function, or shows the help. Returns the exit code. */
int runCommand(const Context &context, const CommandSpec &spec,
               int (*function)(const Context &, const CommandLine &));

} // namespace cli::details

#pragma once

#include <string>
#include <vector>

#include "details/AdminConnection.h"
#include "details/Context.h"
#include <base/Error.h>

namespace cli::details {

/** Arguments and help texts of one command. */
struct CommandSpec
{
    const char *name_;       ///< such as "note publish"
    const char *positional_; ///< such as "FILE"; empty for none
    const char *summary_;    ///< one line
    const char *details_;    ///< paragraphs for --help
    bool usesAdmin_;         ///< takes --admin and --token-file
    bool takesTimeout_ = false;
    bool takesAgainst_ = false; ///< takes --against; neither that nor --admin is needed
};

/** Parsed arguments of one command. */
struct CommandLine
{
    std::vector<std::string> positional_;
    std::string admin_;
    std::string tokenFile_;
    std::string against_;
    int timeoutSeconds_ = 0;
    bool isHelp_ = false;
    std::string help_;
};

/** Parses the arguments; fails with "bad-usage". */
base::Result<CommandLine> parse(const CommandSpec &spec, const std::vector<std::string> &arguments);

/** Address and access token of the daemon that is given on the command line. */
struct AdminTarget
{
    model::Address address_;
    std::string token_;
};

/** Parses the address and reads the token file; fails with "bad-usage". */
base::Result<AdminTarget> readAdminTarget(const CommandLine &line);

/** Reads a file of up to 16 MiB; fails with "bad-usage". */
base::Result<std::string> readFile(const std::string &path);

/** Prints the error and how to get help, and returns the exit code. */
int reportUsage(const Context &context, const CommandSpec &spec, const base::Error &error);

/** Parses the arguments, then calls the function or prints the help. Returns the exit code. */
int runCommand(const Context &context, const CommandSpec &spec,
               int (*function)(const Context &, const CommandLine &));

} // namespace cli::details

#include <cli/Client.h>

#include <algorithm>
#include <iostream>

#include "details/Commands.h"
#include <cli/ExitCode.h>

namespace cli {

namespace {

using Words = std::vector<std::string>;

struct Command
{
    Words words_;
    int (*run_)(const details::Context &);
};

const std::vector<Command> &commands()
{
    static const std::vector<Command> all{
            {{"note", "check"}, details::noteCheck},
            {{"note", "publish"}, details::notePublish},
            {{"note", "status"}, details::noteStatus},
            {{"note", "list"}, details::noteList},
            {{"settings", "check"}, details::settingsCheck},
            {{"status"}, details::status},
            {{"key", "digest"}, details::keyDigest},
            {{"key", "new"}, details::keyNew},
    };
    return all;
}

bool startsWith(const Words &arguments, const Words &words)
{
    return arguments.size() >= words.size()
           && std::equal(words.begin(), words.end(), arguments.begin());
}

} // namespace

std::string_view clientSummary()
{
    return "  note check FILE       checks a release note without publishing it\n"
           "  note publish FILE     publishes a release note and waits for its outcome\n"
           "  note status ID        shows the outcome of a note and where it is in force\n"
           "  note list             lists the newest notes and the revision in force\n"
           "  status                shows the state of one daemon\n"
           "  settings check FILE   checks a daemon's settings file\n"
           "  key digest            reads a customer's key and prints its digest\n"
           "  key new               prints a new key and its digest\n";
}

bool isClientCommand(std::string_view word)
{
    const auto &all = commands();
    return std::any_of(all.begin(), all.end(),
                       [&](const auto &command) { return command.words_.front() == word; });
}

int runClient(const std::vector<std::string> &arguments, const ClientHooks &hooks, std::istream &in,
              std::ostream &out, std::ostream &err)
{
    for (const auto &command : commands()) {
        if (!startsWith(arguments, command.words_))
            continue;
        const auto wordCount = static_cast<std::ptrdiff_t>(command.words_.size());
        const Words rest(arguments.begin() + wordCount, arguments.end());
        return command.run_({rest, hooks, in, out, err});
    }
    const bool isHelp = std::any_of(arguments.begin(), arguments.end(), [](const auto &argument) {
        return argument == "--help" || argument == "-h";
    });
    (isHelp ? out : err) << "usage: fuchsiadock COMMAND [OPTION...]\n"
                         << clientSummary()
                         << "fuchsiadock COMMAND --help shows the options of a command\n";
    return isHelp ? Ok : WrongUsage;
}

int runClient(int argc, const char *const *argv, const ClientHooks &hooks)
{
    return runClient(Words(argv + std::min(argc, 1), argv + argc), hooks, std::cin, std::cout,
                     std::cerr);
}

} // namespace cli

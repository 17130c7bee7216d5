#include <iostream>
#include <string>
#include <vector>

#include <cli/Client.h>
#include <cli/ClientHooks.h>
#include <cli/ExitCode.h>
#include <platform/ConfigDecoder.h>
#include <settings/Loader.h>

#include "DaemonCommand.h"

namespace {

std::string usage()
{
    return "usage: fuchsiadock COMMAND [OPTIONS]\n\n"
           "  daemon                runs the daemon beside one backend server\n"
           + std::string(cli::clientSummary())
           + "  --version             shows the version\n\n"
             "Every command has --help. Exit codes: docs/operations/command-line.md.\n";
}

std::vector<std::string> checkSettings(const std::string &file)
{
    std::vector<std::string> lines;
    if (const auto loaded = settings::loadFile(file); !loaded) {
        for (const auto &fault : loaded.error())
            lines.push_back(fault.text());
    }
    return lines;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "daemon")
        return fuchsiadock::runDaemon(argc - 1, argv + 1);
    if (cli::isClientCommand(name))
        return cli::runClient(
                argc, argv,
                {.checkSettings_ = checkSettings, .decodePlatformConfig_ = platform::decodeDraft});
    if (name == "--help") {
        std::cout << usage();
        return cli::ExitCode::Ok;
    }
    if (name == "--version") {
        std::cout << "fuchsiadock " << FUCHSIADOCK_VERSION << "\n";
        return cli::ExitCode::Ok;
    }
    std::cerr << usage();
    return cli::ExitCode::WrongUsage;
}

#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "DaemonCommand.h"

namespace {

constexpr int exitUsage = 2;

constexpr const char *usage = R"(usage: fuchsiadock COMMAND [OPTIONS]

  daemon             run the daemon beside one backend server
  settings check F   check a settings file
  --version          show the version

Every command has --help. Exit codes: 0 done, 1 failed, 2 wrong usage or settings.
)";

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::function<int(int, char **)>> commands = {
            {"daemon", fuchsiadock::runDaemon},
            {"settings", fuchsiadock::runSettings},
    };
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "--help") {
        std::cout << usage;
        return 0;
    }
    if (name == "--version") {
        std::cout << "fuchsiadock " << FUCHSIADOCK_VERSION << "\n";
        return 0;
    }
    if (const auto command = commands.find(name); command != commands.end())
        return command->second(argc - 1, argv + 1);
    std::cerr << usage;
    return exitUsage;
}

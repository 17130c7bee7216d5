#include <functional>
#include <iostream>
#include <map>
#include <string>

#include <Commands.h>

namespace {

constexpr int exitUsage = 2;

constexpr const char *usage = R"(usage: fuchsiadock-bench COMMAND [OPTIONS]

  log          simulates the platform's append-only log
  backend      simulates a backend server instance
  load         open-loop load on daemons
  experiment   overload experiment with real processes, evaluated against targets
  replay       recorded trace, compared with expected outcomes
  latency      latency that two daemons add to a call

Every command has --help.
)";

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::function<int(int, char **)>> commands = {
            {"log", bench::runLog},         {"backend", bench::runBackend},
            {"load", bench::runLoad},       {"experiment", bench::runExperiment},
            {"latency", bench::runLatency}, {"replay", bench::runReplay},
    };
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "--help") {
        std::cout << usage;
        return 0;
    }
    if (const auto command = commands.find(name); command != commands.end()) {
        return command->second(argc - 1, argv + 1);
    }
    std::cerr << usage;
    return exitUsage;
}

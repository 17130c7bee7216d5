#include <cstdio>
#include <string>

#include <cxxopts.hpp>

#include "Runs.h"

int main(int argc, char **argv)
{
    cxxopts::Options options("member-bench", "Measures membership; not shipped.");
    options.add_options()("mode", "virtual, fed or loopback", cxxopts::value<std::string>());
    options.add_options()("members", "number of daemons",
                          cxxopts::value<unsigned>()->default_value("100"));
    options.add_options()("data-centres", "number of data centres",
                          cxxopts::value<unsigned>()->default_value("5"));
    options.add_options()("seconds", "length of the steady part",
                          cxxopts::value<unsigned>()->default_value("60"));
    options.add_options()("seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("first-port", "first port for loopback",
                          cxxopts::value<std::uint16_t>()->default_value("21000"));
    options.parse_positional("mode");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("mode") == 0) {
        std::puts(options.help().c_str());
        return 2;
    }
    const RunOptions run{parsed["members"].as<unsigned>(), parsed["data-centres"].as<unsigned>(),
                         parsed["seconds"].as<unsigned>(), parsed["seed"].as<std::uint64_t>(),
                         parsed["first-port"].as<std::uint16_t>()};
    const auto mode = parsed["mode"].as<std::string>();
    std::printf("%s, %u members, %u data centres, seed %lu\n", mode.c_str(), run.members_,
                run.dataCentres_, run.seed_);
    if (mode == "virtual")
        runVirtual(run);
    else if (mode == "fed")
        runFed(run);
    else if (mode == "loopback")
        runLoopback(run);
    else
        return 2;
    return 0;
}

#include <filesystem>
#include <iostream>

#include <Cluster.h>
#include <Commands.h>
#include <ExperimentReport.h>
#include <ExperimentRun.h>
#include <Files.h>
#include <Options.h>
#include <Readiness.h>

namespace bench {

namespace {

constexpr const char *evaluatedMode = "full";

base::Result<ExperimentData> runMode(const ExperimentPlan &plan, ClusterOptions options,
                                     const std::string &mode)
{
    options.mode_ = mode;
    options.workDirectory_ += "/" + mode;
    std::filesystem::create_directories(options.workDirectory_);
    const auto cluster = Cluster::start(plan.cluster_, options);
    if (!cluster) {
        return tl::unexpected(cluster.error());
    }
    if (auto ready = waitUntilServing(**cluster); !ready) {
        return tl::unexpected(ready.error());
    }
    return ExperimentRun(plan, **cluster).run();
}

base::Result<int> run(const cxxopts::ParseResult &arguments)
{
    const std::filesystem::path file = arguments["file"].as<std::string>();
    const auto plan = readFile(file.string()).and_then(ExperimentPlan::parse);
    if (!plan) {
        return tl::unexpected(plan.error());
    }
    ClusterOptions options;
    options.binaryDirectory_ = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    options.noteFile_ = file.parent_path() / plan->cluster_.notePath_;
    options.firstPort_ = arguments["first-port"].as<std::uint16_t>();
    const TemporaryDirectory work;
    options.workDirectory_ =
            arguments.count("keep") > 0 ? arguments["keep"].as<std::string>() : work.path();
    bool passed = true;
    for (const std::string &mode : plan->modes_) {
        const auto data = runMode(*plan, options, mode);
        if (!data) {
            return tl::unexpected(data.error());
        }
        printExperiment(std::cout, *plan, mode, *data);
        if (mode == evaluatedMode) {
            passed = evaluateTargets(std::cout, *plan, *data) && passed;
        }
        std::cout.flush();
    }
    return passed ? exitcode::success : exitcode::failure;
}

} // namespace

int runExperiment(int argc, char **argv)
{
    cxxopts::Options options("fuchsiadock-bench experiment",
                             "Overload experiment with real processes on loopback. Exit code 1 "
                             "when a target is missed.");
    options.add_options()("file", "YAML file of the experiment", cxxopts::value<std::string>())(
            "first-port", "first of the ports used",
            cxxopts::value<std::uint16_t>()->default_value("20200"))(
            "keep", "directory that keeps the output of the processes",
            cxxopts::value<std::string>());
    options.parse_positional({"file"});
    options.positional_help("FILE");
    return runWithOptions(options, argc, argv, run);
}

} // namespace bench

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>

#include <Cluster.h>
#include <Commands.h>
#include <Files.h>
#include <LatencyRun.h>
#include <Options.h>
#include <Readiness.h>
#include <bench/Statistics.h>

namespace bench {

namespace {

constexpr double targetP99Ms = 0.32;
constexpr double targetCallsPerSecond = 2000.0;
// Fraction of complete calls below which the rate counts as not held.
constexpr double minCompleteRatio = 0.99;

constexpr const char *releaseNote = R"(id: latency
base: 0
added:
  services: [front, work]
  classes:
    - {name: call, service: work, match: {method: GET, path: /call}, rank: 0, idempotent: true,
       deadline: 1000ms}
)";

PlannedCluster clusterPlan()
{
    PlannedService front{.name_ = "front", .slots_ = 1000, .connections_ = 1000};
    front.serviceTime_ = {base::Millis(0), 0.0};
    PlannedService work = front;
    work.name_ = "work";
    PlannedCluster plan;
    plan.region_ = "local";
    plan.dataCentres_ = {"a"};
    plan.services_ = {front, work};
    return plan;
}

void printDifferences(const char *name, const std::vector<double> &values)
{
    const auto [low, high] = std::minmax_element(values.begin(), values.end());
    std::cout << "  added " << name << ": median " << median(values) << " ms, range " << *low
              << " to " << *high << " ms\n";
}

/** Prints the rounds of a rate; returns false only if the target for targetCallsPerSecond is
 * missed. */
bool reportRate(double rate, const std::vector<LatencyRound> &rounds)
{
    std::cout << std::fixed << std::setprecision(0) << rate << " calls/s, " << rounds.size()
              << " rounds\n"
              << std::setprecision(3);
    std::vector<double> p50;
    std::vector<double> p99;
    double lowestRatio = 1.0;
    for (const auto &[direct, viaDaemons] : rounds) {
        p50.push_back(viaDaemons.p50Ms_ - direct.p50Ms_);
        p99.push_back(viaDaemons.p99Ms_ - direct.p99Ms_);
        lowestRatio = std::min({lowestRatio, direct.completeRatio_, viaDaemons.completeRatio_});
        std::cout << "  direct p50 " << direct.p50Ms_ << " p99 " << direct.p99Ms_ << " complete "
                  << direct.completeRatio_ << "; through both daemons p50 " << viaDaemons.p50Ms_
                  << " p99 " << viaDaemons.p99Ms_ << " complete " << viaDaemons.completeRatio_
                  << '\n';
    }
    printDifferences("p50", p50);
    printDifferences("p99", p99);
    std::cout << (lowestRatio >= minCompleteRatio ? "  rate held\n" : "  rate not held\n");
    if (rate != targetCallsPerSecond) {
        return true;
    }
    const bool met = lowestRatio >= minCompleteRatio && median(p99) <= targetP99Ms;
    std::cout << (met ? "pass" : "FAIL") << " added p99 within " << targetP99Ms << " ms\n";
    return met;
}

base::Result<int> run(const cxxopts::ParseResult &arguments)
{
    const TemporaryDirectory work;
    const PlannedCluster plan = clusterPlan();
    ClusterOptions clusterOptions;
    clusterOptions.binaryDirectory_ =
            std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    clusterOptions.workDirectory_ = work.path();
    clusterOptions.noteFile_ = work.path() + "/note.yaml";
    clusterOptions.firstPort_ = arguments["first-port"].as<std::uint16_t>();
    std::ofstream(clusterOptions.noteFile_) << releaseNote;
    const auto cluster = Cluster::start(plan, clusterOptions);
    if (!cluster) {
        return tl::unexpected(cluster.error());
    }
    LatencyOptions options;
    options.viaDaemons_ = (*cluster)->instances().at(0).data_;
    options.direct_ = (*cluster)->instances().at(1).backend_;
    options.rounds_ = arguments["rounds"].as<int>();
    options.duration_ = base::Millis(arguments["seconds"].as<std::int64_t>() * 1000);
    options.seed_ = arguments["seed"].as<std::uint64_t>();
    if (auto ready = waitUntilServing(**cluster); !ready) {
        return tl::unexpected(ready.error());
    }
    bool passed = true;
    for (const double rate : arguments["rates"].as<std::vector<double>>()) {
        options.requestsPerSecond_ = rate;
        passed = reportRate(rate, measureLatency(options)) && passed;
        std::cout.flush();
    }
    return passed ? exitcode::success : exitcode::failure;
}

} // namespace

int runLatency(int argc, char **argv)
{
    cxxopts::Options options("fuchsiadock-bench latency",
                             "Latency that two daemons add to a call. Exit code 1 when the target "
                             "is missed.");
    options.add_options()("rates", "calls a second, separated by commas",
                          cxxopts::value<std::vector<double>>()->default_value("200,2000,4000"))(
            "rounds", "direct and layered calls in turn, so many times",
            cxxopts::value<int>()->default_value("7"))(
            "seconds", "length of each half of a round",
            cxxopts::value<std::int64_t>()->default_value("3"))(
            "first-port", "first of the ports used",
            cxxopts::value<std::uint16_t>()->default_value("20400"))(
            "seed", "seed of the arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    return runWithOptions(options, argc, argv, run);
}

} // namespace bench

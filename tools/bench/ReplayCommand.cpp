#include <algorithm>
#include <filesystem>
#include <iostream>

#include <Cluster.h>
#include <Commands.h>
#include <Files.h>
#include <Options.h>
#include <Readiness.h>
#include <RunReader.h>
#include <TraceReplay.h>
#include <bench/ExpectedOutcomes.h>
#include <bench/RunAudit.h>
#include <net/Reactor.h>

namespace bench {

namespace {

RunAudit audit(const Cluster &cluster, const std::vector<TraceLine> &lines,
               const std::vector<FinishedRequest> &requests)
{
    net::Reactor reactor;
    net::HttpClient client(reactor);
    RunReader reader(reactor, client);
    std::size_t pendingReads = cluster.instances().size();
    for (const ClusterInstance &instance : cluster.instances()) {
        reader.read(instance.backend_, [&reactor, &pendingReads] {
            if (--pendingReads == 0) {
                reactor.stop();
            }
        });
    }
    reactor.run();
    std::vector<bool> idempotent;
    for (const TraceLine &line : lines) {
        idempotent.push_back(line.keyGroup_.empty());
    }
    RunAudit result = RunAudit::of(reader.runs(), requests, idempotent);
    result.unreadInstances_ = reader.unreadInstances();
    return result;
}

void printOutcomes(const std::map<std::string, std::vector<RequestOutcome>> &outcomes)
{
    for (const auto &[name, list] : outcomes) {
        std::map<RequestOutcome, std::size_t> counts;
        for (const RequestOutcome outcome : list) {
            ++counts[outcome];
        }
        std::cout << name << ": " << list.size() << " requests";
        for (const auto &[outcome, count] : counts) {
            std::cout << ", " << outcomeName(outcome) << ' ' << count;
        }
        std::cout << '\n';
    }
}

std::vector<std::string> runDifferences(const RunAudit &audit)
{
    std::vector<std::string> result;
    const auto require = [&result](const char *what, std::uint64_t count) {
        if (count > 0) {
            result.push_back(std::string(what) + ": " + std::to_string(count));
        }
    };
    require("runs beyond the first of a request", audit.duplicateRuns_);
    require("requests that ran and were told not-run", audit.ranButReportedNotRun_);
    require("requests told complete without a run", audit.completeWithoutRun_);
    require("backend servers whose runs were not read", audit.unreadInstances_);
    return result;
}

base::Result<int> replay(const std::vector<TraceLine> &lines, const ExpectedOutcomes &expected,
                         const ClusterOptions &options)
{
    const auto cluster = Cluster::start(expected.cluster_, options);
    if (!cluster) {
        return tl::unexpected(cluster.error());
    }
    if (auto ready = waitUntilServing(**cluster); !ready) {
        return tl::unexpected(ready.error());
    }
    const auto attempts = TraceReplay(lines, (*cluster)->dataAddresses()).run();
    if (!attempts) {
        return tl::unexpected(attempts.error());
    }
    const auto requests = bestAttempts(*attempts);
    const auto outcomes = outcomesByClass(lines, requests);
    printOutcomes(outcomes);
    auto deviations = expected.deviations(outcomes);
    const auto runs = runDifferences(audit(**cluster, lines, requests));
    deviations.insert(deviations.end(), runs.begin(), runs.end());
    for (const std::string &difference : deviations) {
        std::cout << "DIFFERS " << difference << '\n';
    }
    std::cout << (deviations.empty() ? "pass" : "FAIL") << ", seed " << expected.cluster_.seed_
              << ", " << lines.size() << " attempts\n";
    return deviations.empty() ? exitcode::success : exitcode::failure;
}

base::Result<int> run(const cxxopts::ParseResult &arguments)
{
    const std::filesystem::path expectedFile = arguments["expect"].as<std::string>();
    const auto lines = readFile(arguments["trace"].as<std::string>()).and_then(TraceLine::parseAll);
    if (!lines) {
        return tl::unexpected(lines.error());
    }
    const auto expected = readFile(expectedFile.string()).and_then(ExpectedOutcomes::parse);
    if (!expected) {
        return tl::unexpected(expected.error());
    }
    const TemporaryDirectory work;
    ClusterOptions options;
    options.binaryDirectory_ = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    options.workDirectory_ = work.path();
    options.noteFile_ = expectedFile.parent_path() / expected->cluster_.notePath_;
    options.firstPort_ = arguments["first-port"].as<std::uint16_t>();
    return replay(*lines, *expected, options);
}

} // namespace

int runReplay(int argc, char **argv)
{
    cxxopts::Options options("fuchsiadock-bench replay",
                             "Replays a recorded trace to real processes on loopback. Exit code 1 "
                             "on any deviation from the expected outcomes.");
    options.add_options()("trace", "recorded trace", cxxopts::value<std::string>())(
            "expect", "YAML file of the cluster and the expected outcomes",
            cxxopts::value<std::string>())("first-port", "first of the ports used",
                                           cxxopts::value<std::uint16_t>()->default_value("20600"));
    options.parse_positional({"trace"});
    options.positional_help("TRACE");
    return runWithOptions(options, argc, argv, run);
}

} // namespace bench

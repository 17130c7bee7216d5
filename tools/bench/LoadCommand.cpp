#include <algorithm>
#include <iostream>

#include <Commands.h>
#include <Files.h>
#include <LoadGenerator.h>
#include <LoadReport.h>
#include <Options.h>
#include <net/Reactor.h>
#include <nlohmann/json.hpp>

namespace bench {

namespace {

constexpr base::Millis pendingCheckInterval(20);

base::Result<RequestMix> readMix(const std::string &path)
{
    return readFile(path)
            .and_then(RequestMix::parseText)
            .map_error([&path](const base::Error &error) {
                return base::Error{error.code_, path + ": " + error.message_};
            });
}

base::Result<LoadOptions> readOptions(const cxxopts::ParseResult &arguments)
{
    const auto daemons = parseAddresses(arguments["daemons"].as<std::string>());
    if (!daemons) {
        return tl::unexpected(daemons.error());
    }
    auto mix = readMix(arguments["mix"].as<std::string>());
    if (!mix) {
        return tl::unexpected(mix.error());
    }
    LoadOptions options{.daemons_ = *daemons, .mix_ = std::move(*mix)};
    options.requestsPerSecond_ = arguments["rate"].as<double>();
    options.retries_ = arguments["retries"].as<std::uint32_t>();
    options.retryDelay_ = base::Millis(arguments["retry-delay-ms"].as<std::int64_t>());
    options.seed_ = arguments["seed"].as<std::uint64_t>();
    options.direct_ = arguments.count("direct") > 0;
    return options;
}

void stopWhenDone(net::Reactor &reactor, const LoadGenerator &load)
{
    if (load.pending() == 0) {
        reactor.stop();
        return;
    }
    reactor.schedule(pendingCheckInterval, [&reactor, &load] { stopWhenDone(reactor, load); });
}

std::vector<FinishedRequest> generate(const LoadOptions &options, base::Millis duration)
{
    net::Reactor reactor;
    std::vector<FinishedRequest> finished;
    LoadGenerator load(reactor, options, [&finished](const FinishedRequest &request) {
        finished.push_back(request);
    });
    load.start();
    reactor.schedule(duration, [&] {
        load.stop();
        stopWhenDone(reactor, load);
    });
    reactor.run();
    return finished;
}

bool succeeded(const std::vector<Tally> &tallies, bool allComplete)
{
    return std::all_of(tallies.begin(), tallies.end(), [allComplete](const Tally &tally) {
        return allComplete ? tally.complete_ == tally.sent_ : tally.wrong_ == 0;
    });
}

base::Result<int> run(const cxxopts::ParseResult &arguments)
{
    const auto options = readOptions(arguments);
    if (!options) {
        return tl::unexpected(options.error());
    }
    const base::Millis duration(arguments["seconds"].as<std::int64_t>() * 1000);
    const auto finished = generate(*options, duration);
    const auto tallies = talliesOf(options->mix_, finished, base::Millis(0), base::Millis::max());
    if (arguments.count("json") > 0) {
        std::cout << talliesJson(options->mix_, tallies, duration).dump(2) << '\n';
    } else {
        printTallies(std::cout, options->mix_, tallies, duration);
    }
    return succeeded(tallies, arguments.count("all-complete") > 0) ? exitcode::success
                                                                   : exitcode::failure;
}

} // namespace

int runLoad(int argc, char **argv)
{
    cxxopts::Options options("fuchsiadock-bench load",
                             "Open-loop load. Exit code 1 when any answer was wrong.");
    options.add_options()("daemons", "data ports of daemons, separated by commas",
                          cxxopts::value<std::string>())("mix", "YAML file of request classes",
                                                         cxxopts::value<std::string>())(
            "rate", "new requests a second", cxxopts::value<double>()->default_value("100"))(
            "seconds", "length of the load", cxxopts::value<std::int64_t>()->default_value("10"))(
            "retries", "attempts after the first one",
            cxxopts::value<std::uint32_t>()->default_value("0"))(
            "retry-delay-ms", "wait before a retry",
            cxxopts::value<std::int64_t>()->default_value("0"))(
            "seed", "seed of arrivals and choices",
            cxxopts::value<std::uint64_t>()->default_value("1"))(
            "all-complete", "exit code 1 unless all requests were complete")(
            "direct", "the addresses are of backend servers")("json", "print JSON");
    return runWithOptions(options, argc, argv, run);
}

} // namespace bench

#include <iostream>

#include <Commands.h>
#include <LogServer.h>
#include <Options.h>
#include <SignalWaiter.h>
#include <net/Reactor.h>

namespace bench {

namespace {

base::Result<int> serve(const cxxopts::ParseResult &arguments)
{
    auto listen = model::Address::parse(arguments["listen"].as<std::string>());
    if (!listen) {
        return tl::unexpected(listen.error());
    }
    LogOptions options{.listen_ = *listen};
    options.maxAppendsPerSecond_ = arguments["max-appends"].as<double>();
    options.retention_.maxRecords_ = arguments["keep-records"].as<std::size_t>();
    if (const auto keep = arguments["keep-ms"].as<std::int64_t>(); keep > 0) {
        options.retention_.maxAge_ = base::Millis(keep);
    }
    net::Reactor reactor;
    const SignalWaiter waiter(reactor, [&reactor] { reactor.stop(); });
    const auto log = LogServer::start(reactor, options);
    if (!log) {
        return tl::unexpected(log.error());
    }
    reactor.run();
    return exitcode::success;
}

} // namespace

int runLog(int argc, char **argv)
{
    cxxopts::Options options("fuchsiadock-bench log", "Simulates the platform's append-only log.");
    options.add_options()("listen", "address to listen on", cxxopts::value<std::string>())(
            "max-appends", "appends accepted per second; 429 above",
            cxxopts::value<double>()->default_value("400"))(
            "keep-records", "records retained per stream",
            cxxopts::value<std::size_t>()->default_value("1000000"))(
            "keep-ms", "retention time of records, 0: unlimited",
            cxxopts::value<std::int64_t>()->default_value("0"));
    return runWithOptions(options, argc, argv, serve);
}

} // namespace bench

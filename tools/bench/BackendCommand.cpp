#include <iostream>

#include <BackendServer.h>
#include <Commands.h>
#include <Options.h>
#include <SignalWaiter.h>

namespace bench {

namespace {

base::Result<BackendOptions> readOptions(const cxxopts::ParseResult &arguments)
{
    BackendOptions options;
    const auto listen = model::Address::parse(arguments["listen"].as<std::string>());
    if (!listen) {
        return tl::unexpected(listen.error());
    }
    options.listen_ = *listen;
    if (const auto text = arguments["daemon"].as<std::string>(); !text.empty()) {
        const auto daemon = model::Address::parse(text);
        if (!daemon) {
            return tl::unexpected(daemon.error());
        }
        options.daemon_ = *daemon;
    }
    for (const std::string &text : arguments["call"].as<std::vector<std::string>>()) {
        auto call = text.empty() ? CallSpec{} : CallSpec::parse(text);
        if (!call) {
            return tl::unexpected(call.error());
        }
        if (!text.empty()) {
            options.calls_.push_back(std::move(*call));
        }
    }
    options.service_ = arguments["service"].as<std::string>();
    options.slots_ = arguments["slots"].as<std::uint32_t>();
    options.connections_ = arguments["connections"].as<std::uint32_t>();
    options.queueLimit_ = arguments["queue"].as<std::size_t>();
    options.serviceTime_.mean_ = base::Millis::fromMicros(
            static_cast<std::int64_t>(arguments["time-ms"].as<double>() * 1000));
    options.serviceTime_.variation_ = arguments["time-variation"].as<double>();
    options.contentionFactor_ = arguments["contention"].as<double>();
    options.warmUpTime_ = base::Millis(arguments["cold-ms"].as<std::int64_t>());
    options.coldStartFactor_ = arguments["cold-factor"].as<double>();
    options.finishAbandoned_ = arguments.count("finish-abandoned") > 0;
    options.seed_ = arguments["seed"].as<std::uint64_t>();
    return options;
}

base::Result<int> serve(const cxxopts::ParseResult &arguments)
{
    const auto options = readOptions(arguments);
    if (!options) {
        return tl::unexpected(options.error());
    }
    net::Reactor reactor;
    BackendServer *draining = nullptr;
    const SignalWaiter waiter(reactor, [&draining] {
        if (draining != nullptr) {
            draining->drain();
        }
    });
    const auto backend = BackendServer::start(reactor, *options);
    if (!backend) {
        return tl::unexpected(backend.error());
    }
    draining = backend->get();
    reactor.run();
    return exitcode::success;
}

} // namespace

int runBackend(int argc, char **argv)
{
    cxxopts::Options options("fuchsiadock-bench backend",
                             "Simulates a backend server instance. SIGTERM: deregister, drain, "
                             "exit.");
    options.add_options()("listen", "address to listen on", cxxopts::value<std::string>())(
            "daemon", "data port of the local daemon; none: runs without a daemon",
            cxxopts::value<std::string>()->default_value(""))("service", "name of the service",
                                                              cxxopts::value<std::string>())(
            "slots", "requests run concurrently",
            cxxopts::value<std::uint32_t>()->default_value("8"))(
            "connections", "connections accepted",
            cxxopts::value<std::uint32_t>()->default_value("256"))(
            "queue", "requests waiting for a slot; further ones are rejected",
            cxxopts::value<std::size_t>()->default_value("64"))(
            "time-ms", "mean service time", cxxopts::value<double>()->default_value("10"))(
            "time-variation", "standard deviation divided by the mean",
            cxxopts::value<double>()->default_value("0.5"))(
            "contention", "relative increase of the service time per full set of slots queued",
            cxxopts::value<double>()->default_value("0"))(
            "call",
            "call made for each request: \"[/prefix:] SERVICE METHOD /path [once]\"; "
            "may be repeated",
            cxxopts::value<std::vector<std::string>>()->default_value(""))(
            "cold-ms", "warm-up time after start",
            cxxopts::value<std::int64_t>()->default_value("0"))(
            "cold-factor", "multiplier of the service time at start",
            cxxopts::value<double>()->default_value("3"))(
            "finish-abandoned", "complete requests whose caller disconnected")(
            "seed", "seed of the service times",
            cxxopts::value<std::uint64_t>()->default_value("1"));
    return runWithOptions(options, argc, argv, serve);
}

} // namespace bench

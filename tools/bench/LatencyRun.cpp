#include <LatencyRun.h>

#include <LoadGenerator.h>
#include <bench/Tally.h>
#include <net/Reactor.h>

namespace bench {

namespace {

constexpr base::Millis drainTime(1200);
constexpr base::Millis warmUpDuration(1000);

LoadOptions loadOptions(const LatencyOptions &options, bool direct, int round)
{
    RequestClass requestClass;
    requestClass.name_ = "call";
    requestClass.service_ = "work";
    requestClass.path_ = "/call";
    return {.daemons_ = {direct ? options.direct_ : options.viaDaemons_},
            .mix_ = RequestMix{{requestClass}},
            .requestsPerSecond_ = options.requestsPerSecond_,
            .seed_ = options.seed_ + static_cast<std::uint64_t>(round),
            .direct_ = direct};
}

LatencySample sample(const LatencyOptions &options, bool direct, int round, base::Millis length)
{
    net::Reactor reactor;
    std::vector<FinishedRequest> finished;
    LoadGenerator load(
            reactor, loadOptions(options, direct, round),
            [&finished](const FinishedRequest &request) { finished.push_back(request); });
    load.start();
    reactor.runFor(length);
    load.stop();
    reactor.runFor(drainTime);
    const Tally tally = Tally::of(finished, 0, base::Millis(0), base::Millis::max());
    const auto sent = static_cast<double>(tally.sent_ + load.pending());
    return {tally.p50Ms_, tally.p99Ms_,
            sent > 0.0 ? static_cast<double>(tally.complete_) / sent : 0.0};
}

} // namespace

std::vector<LatencyRound> measureLatency(const LatencyOptions &options)
{
    sample(options, true, -1, warmUpDuration);
    sample(options, false, -1, warmUpDuration);
    std::vector<LatencyRound> rounds;
    for (int round = 0; round < options.rounds_; ++round) {
        LatencyRound result;
        result.direct_ = sample(options, true, round, options.duration_);
        result.viaDaemons_ = sample(options, false, round, options.duration_);
        rounds.push_back(result);
    }
    return rounds;
}

} // namespace bench

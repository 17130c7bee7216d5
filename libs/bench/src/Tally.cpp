#include <bench/Tally.h>

#include <bench/Statistics.h>

namespace bench {

namespace {

void countRequest(Tally &tally, const FinishedRequest &request)
{
    ++tally.sent_;
    tally.attempts_ += request.attempts_;
    switch (request.outcome_) {
    case RequestOutcome::Complete:
        ++tally.complete_;
        break;
    case RequestOutcome::Late:
        ++tally.late_;
        break;
    case RequestOutcome::Failed:
        ++tally.failed_;
        break;
    case RequestOutcome::NotRun:
        ++tally.notRun_;
        break;
    case RequestOutcome::Unknown:
        ++tally.unknown_;
        break;
    case RequestOutcome::Wrong:
        ++tally.wrong_;
        break;
    }
}

} // namespace

Tally Tally::of(const std::vector<FinishedRequest> &requests, std::size_t classIndex,
                base::Millis from, base::Millis to)
{
    Tally tally;
    std::vector<double> latencies;
    for (const FinishedRequest &request : requests) {
        if (request.classIndex_ != classIndex || request.arrivedAt_ < from
            || request.arrivedAt_ >= to) {
            continue;
        }
        countRequest(tally, request);
        if (request.outcome_ == RequestOutcome::Complete) {
            latencies.push_back((request.endedAt_ - request.arrivedAt_).fractional());
        }
    }
    tally.p50Ms_ = percentile(latencies, 0.50);
    tally.p99Ms_ = percentile(std::move(latencies), 0.99);
    return tally;
}

} // namespace bench

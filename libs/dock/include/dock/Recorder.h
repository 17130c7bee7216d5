#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <string>

#include <base/Millis.h>
#include <dock/CallInfo.h>
#include <dock/CallReport.h>
#include <metrics/Registry.h>
#include <metrics/Snapshot.h>
#include <once/Outcome.h>

namespace dock {

/** Records metrics of finished calls and, optionally, writes a trace of root requests. */
class Recorder
{
public:
    /** Writes no trace if the path is empty. The format is described in docs/trace-format.md. */
    explicit Recorder(const std::string &traceFile);

    /** Applies the customer and class names of a configuration. */
    void configure(const model::Config &config);

    /** Records one finished call. */
    void recordFinished(const CallInfo &call, const once::Outcome &outcome,
                        const CallReport &report, base::Millis now);

    /** Copy of the histograms, for use in another task. */
    std::shared_ptr<const metrics::Snapshot> snapshot() const;

    /** Number of calls that were not run or are unknown, by reason. */
    const std::map<std::string, std::uint64_t> &failures() const { return failures_; }

private:
    void writeTrace(const CallInfo &call, base::Millis now);

    metrics::Registry registry_;
    std::map<std::string, std::uint64_t> failures_;
    std::ofstream trace_;
    base::Millis traceStart_;
};

} // namespace dock

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

/** Counts finished calls of this daemon and, if wanted, writes a trace of those from outside. */
class Recorder
{
public:
    /** An empty path records no trace. The format is in docs/trace-format.md. */
    explicit Recorder(const std::string &traceFile);

    /** Takes over the names of customers and classes. */
    void configure(const model::Config &config);

    /** Counts one finished call. */
    void finished(const CallInfo &call, const once::Outcome &outcome, const CallReport &report,
                  base::Millis now);

    /** Copy of the histograms, to be passed to another task. */
    std::shared_ptr<const metrics::Snapshot> snapshot() const;

    /** Calls that were not run or unknown, by reason. */
    const std::map<std::string, std::uint64_t> &failures() const { return failures_; }

private:
    void writeTrace(const CallInfo &call, base::Millis now);

    metrics::Registry registry_;
    std::map<std::string, std::uint64_t> failures_;
    std::ofstream trace_;
    base::Millis traceStart_;
};

} // namespace dock

#include <dock/Recorder.h>

#include <cstdio>

#include <base/Clock.h>
#include <base/Hash.h>
#include <base/Overloaded.h>

namespace dock {

namespace {

metrics::Outcome metricOutcome(const once::Outcome &outcome)
{
    return std::visit(base::Overloaded{
                              [](const once::Complete &) { return metrics::Outcome::Complete; },
                              [](const once::NotRun &) { return metrics::Outcome::NotRun; },
                              [](const once::Unknown &) { return metrics::Outcome::Unknown; },
                      },
                      outcome);
}

std::string failureLabel(const once::Outcome &outcome)
{
    return std::visit(base::Overloaded{
                              [](const once::Complete &) { return std::string(); },
                              [](const once::NotRun &why) {
                                  return "not-run/" + std::string(once::reasonText(why.reason_));
                              },
                              [](const once::Unknown &why) {
                                  return "unknown/" + std::string(once::reasonText(why.reason_));
                              },
                      },
                      outcome);
}

std::string orDash(const std::string &text)
{
    return text.empty() ? "-" : text;
}

/** Hash that replaces the key in a trace, which must not contain the key itself. */
std::string keyGroupOf(const CallInfo &call)
{
    if (call.class_.idempotent_ || call.idempotencyKey_.empty())
        return "-";
    char text[18];
    std::snprintf(text, sizeof(text), "k%016lx", base::hash64(call.idempotencyKey_));
    return text;
}

} // namespace

Recorder::Recorder(const std::string &traceFile)
    : traceStart_(base::monotonicNow())
{
    if (!traceFile.empty())
        trace_.open(traceFile, std::ios::app);
}

void Recorder::configure(const model::Config &config)
{
    registry_.configure(config);
}

void Recorder::recordFinished(const CallInfo &call, const once::Outcome &outcome,
                              const CallReport &report, base::Millis now)
{
    auto failure = failureLabel(outcome);
    if (!failure.empty())
        ++failures_[failure];
    registry_.record({.customer_ = call.keyCustomer_,
                      .requestClass_ = call.class_.name_,
                      .outcome_ = metricOutcome(outcome),
                      .failure_ = std::move(failure),
                      .latency_ = now - call.receivedAt_,
                      .queueing_ = report.queueing_,
                      .attempts_ = report.attempts_},
                     now);
    if (trace_.is_open() && !call.isChild())
        writeTrace(call, now);
}

void Recorder::writeTrace(const CallInfo &call, base::Millis now)
{
    const auto path = call.request_.target_.substr(0, call.request_.target_.find('?'));
    trace_ << (call.receivedAt_ - traceStart_).count() << ' ' << call.request_.method_ << ' '
           << call.service_ << ' ' << path << ' ' << call.class_.name_ << ' '
           << orDash(call.keyCustomer_) << ' ' << (call.deadline_ - call.receivedAt_).count() << ' '
           << keyGroupOf(call) << ' ' << call.service_ << ':' << (now - call.receivedAt_).count()
           << '\n';
}

std::shared_ptr<const metrics::Snapshot> Recorder::snapshot() const
{
    return std::make_shared<const metrics::Snapshot>(registry_.snapshot(base::monotonicNow()));
}

} // namespace dock

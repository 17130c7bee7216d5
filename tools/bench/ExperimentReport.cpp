#include <ExperimentReport.h>

#include <algorithm>
#include <iomanip>
#include <ostream>

#include <LoadReport.h>
#include <bench/Recovery.h>
#include <bench/RunAudit.h>

namespace bench {

namespace {

constexpr base::Millis second(1000);

struct PhaseTimes
{
    base::Millis from_;
    base::Millis to_;
};

PhaseTimes phaseTimes(const ExperimentPlan &plan, const ExperimentData &data,
                      const std::string &name)
{
    std::size_t index = 0;
    while (plan.phases_[index].name_ != name) {
        ++index;
    }
    return {data.phaseStarts_[index], data.phaseStarts_[index + 1]};
}

RunAudit auditOf(const ExperimentPlan &plan, const ExperimentData &data)
{
    std::vector<bool> idempotent;
    for (const RequestClass &requestClass : plan.mix_.classes_) {
        idempotent.push_back(requestClass.idempotent_);
    }
    return RunAudit::of(data.runs_, data.requests_, idempotent);
}

base::Millis recoveryOf(const ExperimentPlan &plan, const ExperimentData &data)
{
    const auto [from, to] = phaseTimes(plan, data, plan.targets_.recoveryPhase_);
    return recoveryTime(data.requests_, from, to);
}

void printRecovery(std::ostream &out, const ExperimentPlan &plan, const ExperimentData &data)
{
    const auto [from, to] = phaseTimes(plan, data, plan.targets_.recoveryPhase_);
    out << "completed after the surge, by second, in percent of what arrived:";
    for (base::Millis at = from; at < to; at = at + second) {
        std::uint64_t sent = 0;
        std::uint64_t complete = 0;
        for (const Tally &tally : talliesOf(plan.mix_, data.requests_, at, at + second)) {
            sent += tally.sent_;
            complete += tally.complete_;
        }
        out << ' ' << (sent > 0 ? 100 * complete / sent : 0);
    }
    out << '\n';
}

void printGoodputOverTime(std::ostream &out, const ExperimentPlan &plan, const ExperimentData &data)
{
    out << "goodput by second (requests that arrived in it and completed)\n";
    for (std::size_t classIndex = 0; classIndex < plan.mix_.classes_.size(); ++classIndex) {
        out << "  " << plan.mix_.classes_[classIndex].name_ << ':';
        for (base::Millis from = data.phaseStarts_.front(); from < data.phaseStarts_.back();
             from = from + second) {
            out << ' ' << Tally::of(data.requests_, classIndex, from, from + second).complete_;
        }
        out << '\n';
    }
}

bool report(std::ostream &out, bool passed, const std::string &target, double reached)
{
    out << (passed ? "pass " : "FAIL ") << target << "; reached " << std::setprecision(3) << reached
        << '\n';
    return passed;
}

bool evaluateGoodput(std::ostream &out, const ExperimentPlan &plan, const ExperimentData &data)
{
    const auto [from, to] = phaseTimes(plan, data, plan.targets_.goodputPhase_);
    const double seconds = (to - from).fractional() / second.fractional();
    double offered = 0.0;
    double complete = 0.0;
    for (std::size_t classIndex = 0; classIndex < plan.mix_.classes_.size(); ++classIndex) {
        if (plan.mix_.classes_[classIndex].protected_) {
            const Tally tally = Tally::of(data.requests_, classIndex, from, to);
            offered += static_cast<double>(tally.sent_) / seconds;
            complete += static_cast<double>(tally.complete_) / seconds;
        }
    }
    const double attainable = std::min(offered, plan.targets_.protectedCapacityPerSecond_);
    const double ratio = attainable > 0.0 ? complete / attainable : 0.0;
    return report(out, ratio >= plan.targets_.minGoodputRatio_,
                  "goodput of protected classes in " + plan.targets_.goodputPhase_
                          + ", as a fraction of the smaller of offered load and capacity",
                  ratio);
}

std::uint64_t wrongAnswers(const ExperimentData &data)
{
    return static_cast<std::uint64_t>(
            std::count_if(data.requests_.begin(), data.requests_.end(), [](const auto &request) {
                return request.outcome_ == RequestOutcome::Wrong;
            }));
}

bool evaluateZeroCount(std::ostream &out, const std::string &what, std::uint64_t count)
{
    return report(out, count == 0, "no " + what, static_cast<double>(count));
}

} // namespace

void printExperiment(std::ostream &out, const ExperimentPlan &plan, const std::string &mode,
                     const ExperimentData &data)
{
    out << "\n== " << plan.name_ << ", mode " << mode << ", seed " << plan.cluster_.seed_
        << " ==\n";
    for (std::size_t index = 0; index < plan.phases_.size(); ++index) {
        const base::Millis from = data.phaseStarts_[index];
        const base::Millis to = data.phaseStarts_[index + 1];
        out << "\nphase " << plan.phases_[index].name_ << ", "
            << plan.requestsPerSecond_ * plan.phases_[index].loadFactor_ << " requests/s\n";
        printTallies(out, plan.mix_, talliesOf(plan.mix_, data.requests_, from, to), to - from);
    }
    out << '\n';
    printGoodputOverTime(out, plan, data);
    printRecovery(out, plan, data);
    const RunAudit audit = auditOf(plan, data);
    out << "recovery " << recoveryOf(plan, data).count() << " ms; requests run that must run once "
        << audit.requestsRun_ << ", extra runs " << audit.duplicateRuns_
        << ", ran but told not-run " << audit.ranButReportedNotRun_ << ", wrong answers "
        << wrongAnswers(data) << ", ledgers not read " << data.unreadInstances_ << '\n';
}

bool evaluateTargets(std::ostream &out, const ExperimentPlan &plan, const ExperimentData &data)
{
    const RunAudit audit = auditOf(plan, data);
    const base::Millis recovery = recoveryOf(plan, data);
    bool passed = evaluateGoodput(out, plan, data);
    passed &= report(out, recovery <= plan.targets_.maxRecoveryTime_,
                     "recovery within " + std::to_string(plan.targets_.maxRecoveryTime_.count())
                             + " ms",
                     recovery.fractional());
    passed &= evaluateZeroCount(out, "request that must run once ran again", audit.duplicateRuns_);
    passed &= evaluateZeroCount(out, "request ran that was told not-run",
                                audit.ranButReportedNotRun_);
    passed &= evaluateZeroCount(out, "request was told complete without a run",
                                audit.completeWithoutRun_);
    passed &= evaluateZeroCount(out, "wrong answer", wrongAnswers(data));
    passed &= evaluateZeroCount(out, "backend server's runs unread", data.unreadInstances_);
    return passed;
}

} // namespace bench

#include <bench/ExperimentPlan.h>
#include <bench/Recovery.h>
#include <bench/RunAudit.h>

#include <gtest/gtest.h>

using base::Millis;
using bench::FinishedRequest;
using bench::RequestOutcome;
using bench::RunAudit;

namespace {

FinishedRequest request(const std::string &id, int arrived, RequestOutcome outcome)
{
    return {0, id, Millis(arrived), Millis(arrived), outcome, 1};
}

const char *const plan = R"(name: p
note: note.yaml
region: r
dataCentres: [a]
modes: [full]
rate: 10
services: [{name: s, instances: 1, slots: 1, connections: 1}]
classes: [{name: c, service: s}]
phases:
  - {name: surge, seconds: 1, steps: [{atMs: 5, action: ACTION, target: daemon, service: s}]}
targets: {goodputPhase: surge, goodputRatio: 0.95, protectedCapacity: 1, recoveryPhase: PHASE}
)";

std::string planWith(const std::string &action, const std::string &phase)
{
    std::string text = plan;
    text.replace(text.find("ACTION"), 6, action);
    return text.replace(text.find("PHASE"), 5, phase);
}

} // namespace

TEST(Recovery, endsAfterLastWindowBelowCompletionRatio)
{
    std::vector<FinishedRequest> requests;
    for (int time = 1000; time < 6000; time += 10) {
        requests.push_back(request("", time, RequestOutcome::Complete));
    }
    EXPECT_EQ(bench::recoveryTime(requests, Millis(1000), Millis(6000)), Millis(0));
    for (int time = 3100; time < 3200; time += 10) {
        requests.push_back(request("", time, RequestOutcome::NotRun));
    }
    EXPECT_EQ(bench::recoveryTime(requests, Millis(1000), Millis(6000)), Millis(2500));
    requests.push_back(request("", 500, RequestOutcome::Unknown));
    requests.push_back(request("", 6000, RequestOutcome::Unknown));
    EXPECT_EQ(bench::recoveryTime(requests, Millis(1000), Millis(6000)), Millis(2500));
}

TEST(Recovery, isWholeIntervalIfNothingCompletes)
{
    const std::vector<FinishedRequest> requests = {request("", 990, RequestOutcome::NotRun)};
    EXPECT_EQ(bench::recoveryTime(requests, Millis(0), Millis(1000)), Millis(1000));
}

TEST(RunAudit, countsDuplicateRunsAndMisreportedOutcomes)
{
    const std::vector<FinishedRequest> requests = {request("honest", 0, RequestOutcome::NotRun),
                                                   request("denied", 0, RequestOutcome::NotRun),
                                                   request("twice", 0, RequestOutcome::Complete),
                                                   request("ghost", 0, RequestOutcome::Complete)};
    EXPECT_EQ(RunAudit::of({{"denied", 1}, {"twice", 3}}, requests, {false}),
              (RunAudit{2, 2, 1, 1}));
    EXPECT_EQ(RunAudit::of({}, requests, {true}), RunAudit{});
}

TEST(ExperimentPlan, rejectsUnknownActionsPhasesAndFields)
{
    const auto good = bench::ExperimentPlan::parse(planWith("pause", "surge"));
    ASSERT_TRUE(good) << good.error().message_;
    EXPECT_EQ(good->phases_.at(0).steps_.at(0).action_, bench::StepAction::Pause);
    for (const std::string &text : {planWith("explode", "surge"), planWith("pause", "calm"),
                                    planWith("pause", "surge") + "surprise: 1\n", std::string()}) {
        EXPECT_FALSE(bench::ExperimentPlan::parse(text)) << text;
    }
}

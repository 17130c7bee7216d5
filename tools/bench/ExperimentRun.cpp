#include <ExperimentRun.h>

#include <algorithm>
#include <csignal>

#include <base/Clock.h>

namespace bench {

namespace {

constexpr base::Millis controlTimeout(2000);
constexpr base::Millis pendingCheckInterval(50);

LoadOptions loadOptions(const ExperimentPlan &plan, const Cluster &cluster)
{
    return {.daemons_ = cluster.dataAddresses(),
            .mix_ = plan.mix_,
            .requestsPerSecond_ = plan.requestsPerSecond_,
            .retries_ = plan.retries_,
            .retryDelay_ = plan.retryDelay_,
            .seed_ = plan.cluster_.seed_};
}

int signalOf(StepAction action)
{
    switch (action) {
    case StepAction::Kill:
        return SIGKILL;
    case StepAction::Pause:
        return SIGSTOP;
    case StepAction::Resume:
        return SIGCONT;
    case StepAction::Terminate:
    case StepAction::Faults:
        break;
    }
    return SIGTERM;
}

} // namespace

ExperimentRun::ExperimentRun(const ExperimentPlan &plan, Cluster &cluster)
    : plan_(plan)
    , cluster_(cluster)
    , client_(reactor_)
    , runReader_(reactor_, client_)
    , loadGenerator_(reactor_, loadOptions(plan, cluster),
                     [this](const FinishedRequest &request) { data_.requests_.push_back(request); })
{}

ExperimentData ExperimentRun::run()
{
    loadGenerator_.start();
    startPhase(0);
    reactor_.run();
    data_.runs_ = runReader_.runs();
    data_.unreadInstances_ = runReader_.unreadInstances();
    return data_;
}

void ExperimentRun::startPhase(std::size_t index)
{
    data_.phaseStarts_.push_back(base::monotonicNow());
    if (index == plan_.phases_.size()) {
        loadGenerator_.stop();
        waitForPendingRequests();
        return;
    }
    const PlannedPhase &phase = plan_.phases_[index];
    loadGenerator_.setRate(plan_.requestsPerSecond_ * phase.loadFactor_);
    for (const PlannedStep &step : phase.steps_) {
        reactor_.schedule(step.offset_, [this, &step] { executeStep(step); });
    }
    reactor_.schedule(phase.duration_, [this, index] { startPhase(index + 1); });
}

void ExperimentRun::executeStep(const PlannedStep &step)
{
    if (step.action_ == StepAction::Faults) {
        sendFaults(step);
    } else if (step.action_ == StepAction::Kill && step.target_ == StepTarget::Backend) {
        readRunsAndKill(step);
    } else {
        cluster_.signal(step, signalOf(step.action_));
    }
}

void ExperimentRun::sendFaults(const PlannedStep &step)
{
    std::vector<model::Address> addresses;
    if (step.target_ == StepTarget::Log) {
        addresses.push_back(cluster_.logAddress());
    }
    for (const ClusterInstance *instance : cluster_.targetsOf(step)) {
        addresses.push_back(instance->backend_);
    }
    for (const model::Address &address : addresses) {
        client_.send(address, {"PUT", "/faults", {}, step.faults_}, controlTimeout,
                     [](const auto &) {});
    }
}

void ExperimentRun::readRunsAndKill(const PlannedStep &step)
{
    for (const ClusterInstance *instance : cluster_.targetsOf(step)) {
        killed_.push_back(instance);
        runReader_.read(instance->backend_,
                        [instance] { instance->backendProcess_->signal(SIGKILL); });
    }
}

void ExperimentRun::waitForPendingRequests()
{
    if (loadGenerator_.pending() == 0) {
        readAllRuns();
        return;
    }
    reactor_.schedule(pendingCheckInterval, [this] { waitForPendingRequests(); });
}

void ExperimentRun::readAllRuns()
{
    for (const ClusterInstance &instance : cluster_.instances()) {
        if (std::find(killed_.begin(), killed_.end(), &instance) != killed_.end()) {
            continue;
        }
        ++pendingReads_;
        runReader_.read(instance.backend_, [this] {
            if (--pendingReads_ == 0) {
                reactor_.stop();
            }
        });
    }
}

} // namespace bench

#include <ExperimentRun.h>

#include <algorithm>
#include <csignal>

#include <Json.h>
#include <base/Clock.h>

namespace bench {

namespace {

constexpr base::Millis controlTimeout(2000);
constexpr base::Millis pendingCheckInterval(50);
constexpr base::Millis readyWindow(1000);
constexpr base::Millis readyDrain(2500);
constexpr int readyAttempts = 15;
constexpr double readyRate = 50.0;

LoadOptions loadOptions(const ExperimentPlan &plan, const Cluster &cluster)
{
    return {.daemons_ = cluster.dataAddresses(),
            .mix_ = plan.mix_,
            .rate_ = plan.rate_,
            .retries_ = plan.retries_,
            .retryDelay_ = plan.retryDelay_,
            .seed_ = plan.seed_};
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
    , load_(reactor_, loadOptions(plan, cluster),
            [this](const FinishedRequest &request) { data_.requests_.push_back(request); })
{}

base::Result<ExperimentData> ExperimentRun::run()
{
    if (!waitUntilReady()) {
        return base::fail("not-ready", "requests did not complete before the first phase");
    }
    load_.start();
    startPhase(0);
    reactor_.run();
    return data_;
}

bool ExperimentRun::waitUntilReady()
{
    for (int attempt = 0; attempt < readyAttempts; ++attempt) {
        std::vector<FinishedRequest> finished;
        LoadOptions options = loadOptions(plan_, cluster_);
        options.rate_ = readyRate;
        options.retries_ = 0;
        options.seed_ = plan_.seed_ + 1'000'000 + static_cast<std::uint64_t>(attempt);
        LoadGenerator load(reactor_, options, [&finished](const FinishedRequest &request) {
            finished.push_back(request);
        });
        load.start();
        reactor_.runFor(readyWindow);
        load.stop();
        reactor_.runFor(readyDrain);
        const bool complete
                = std::all_of(finished.begin(), finished.end(), [](const FinishedRequest &request) {
                      return request.outcome_ == RequestOutcome::Complete;
                  });
        if (complete && load.pending() == 0 && !finished.empty()) {
            return true;
        }
    }
    return false;
}

void ExperimentRun::startPhase(std::size_t index)
{
    data_.phaseStarts_.push_back(base::monotonicNow());
    if (index == plan_.phases_.size()) {
        load_.stop();
        finishLoad();
        return;
    }
    const PlannedPhase &phase = plan_.phases_[index];
    load_.setRate(plan_.rate_ * phase.load_);
    for (const PlannedStep &step : phase.steps_) {
        reactor_.schedule(step.at_, [this, &step] { act(step); });
    }
    reactor_.schedule(phase.length_, [this, index] { startPhase(index + 1); });
}

void ExperimentRun::act(const PlannedStep &step)
{
    if (step.action_ == StepAction::Faults) {
        sendFaults(step);
    } else if (step.action_ == StepAction::Kill && step.target_ == StepTarget::Backend) {
        killAfterReading(step);
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

void ExperimentRun::killAfterReading(const PlannedStep &step)
{
    for (const ClusterInstance *instance : cluster_.targetsOf(step)) {
        killed_.push_back(instance);
        readRuns(*instance, [instance] { instance->backendProcess_->signal(SIGKILL); });
    }
}

void ExperimentRun::readRuns(const ClusterInstance &instance, std::function<void()> done)
{
    client_.send(instance.backend_, {"GET", "/runs", {}, ""}, controlTimeout,
                 [this, done = std::move(done)](const net::CallResult &result) {
                     addRuns(result);
                     done();
                 });
}

void ExperimentRun::addRuns(const net::CallResult &result)
{
    const nlohmann::json runs = result ? parseJson(result->body_) : nlohmann::json();
    if (!runs.is_object() && !(result && runs.is_null())) {
        ++data_.unreadLedgers_;
        return;
    }
    for (const auto &[id, count] : runs.items()) {
        data_.runs_[id] += count.get<std::uint32_t>();
    }
}

void ExperimentRun::finishLoad()
{
    if (load_.pending() == 0) {
        readAllRuns();
        return;
    }
    reactor_.schedule(pendingCheckInterval, [this] { finishLoad(); });
}

void ExperimentRun::readAllRuns()
{
    for (const ClusterInstance &instance : cluster_.instances()) {
        if (std::find(killed_.begin(), killed_.end(), &instance) != killed_.end()) {
            continue;
        }
        ++openReads_;
        readRuns(instance, [this] {
            if (--openReads_ == 0) {
                reactor_.stop();
            }
        });
    }
}

} // namespace bench

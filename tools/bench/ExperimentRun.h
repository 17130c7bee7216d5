#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <Cluster.h>
#include <LoadGenerator.h>
#include <RunReader.h>
#include <bench/ExperimentPlan.h>
#include <bench/FinishedRequest.h>
#include <net/HttpClient.h>
#include <net/Reactor.h>

namespace bench {

/** Raw results of one mode of an experiment. */
struct ExperimentData
{
    std::vector<FinishedRequest> requests_;
    std::vector<base::Millis> phaseStarts_;     ///< followed by the end of the last phase
    std::map<std::string, std::uint32_t> runs_; ///< at-most-once runs, by request id
    std::uint32_t unreadInstances_ = 0;         ///< backend servers whose runs could not be read
};

/** Executes the phases of an experiment on a running cluster. */
class ExperimentRun
{
public:
    ExperimentRun(const ExperimentPlan &plan, Cluster &cluster);

    /** Runs all phases, waits for pending requests and reads the runs of the backend servers. */
    ExperimentData run();

private:
    void startPhase(std::size_t index);
    void executeStep(const PlannedStep &step);
    void sendFaults(const PlannedStep &step);
    void readRunsAndKill(const PlannedStep &step);
    void waitForPendingRequests();
    void readAllRuns();

    const ExperimentPlan &plan_;
    Cluster &cluster_;
    net::Reactor reactor_;
    net::HttpClient client_;
    RunReader runReader_;
    LoadGenerator loadGenerator_;
    ExperimentData data_;
    std::vector<const ClusterInstance *> killed_;
    std::size_t pendingReads_ = 0;
};

} // namespace bench

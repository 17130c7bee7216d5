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

/** All that one mode of an experiment gave. */
struct ExperimentData
{
    std::vector<FinishedRequest> requests_;
    std::vector<base::Millis> phaseStarts_;     ///< and the end of the last phase
    std::map<std::string, std::uint32_t> runs_; ///< runs that must be single, by request
    std::uint32_t unreadLedgers_ = 0;           ///< backend servers whose runs could not be read
};

/** Drives the phases of an experiment against a cluster that runs. */
class ExperimentRun
{
public:
    ExperimentRun(const ExperimentPlan &plan, Cluster &cluster);

    /** Runs all phases, waits for the last answers and reads what the backend servers ran. */
    ExperimentData run();

private:
    void startPhase(std::size_t index);
    void act(const PlannedStep &step);
    void sendFaults(const PlannedStep &step);
    void killAfterReading(const PlannedStep &step);
    void finishLoad();
    void readAllRuns();

    const ExperimentPlan &plan_;
    Cluster &cluster_;
    net::Reactor reactor_;
    net::HttpClient client_;
    RunReader runs_;
    LoadGenerator load_;
    ExperimentData data_;
    std::vector<const ClusterInstance *> killed_;
    std::size_t openReads_ = 0;
};

} // namespace bench

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <ChildProcess.h>
#include <bench/PlannedCluster.h>
#include <bench/PlannedStep.h>
#include <model/Address.h>

namespace bench {

/** Paths, ports and mode of a cluster. */
struct ClusterOptions
{
    std::string binaryDirectory_;
    std::string workDirectory_; ///< for settings, tokens and process output
    std::string noteFile_;
    std::uint16_t firstPort_ = 20200;
    std::string mode_ = "full";
};

/** Backend server instance with its daemon. */
struct ClusterInstance
{
    std::string service_;
    std::uint32_t number_ = 0; ///< index within its service
    model::Address data_;
    model::Address backend_;
    std::unique_ptr<ChildProcess> daemonProcess_;
    std::unique_ptr<ChildProcess> backendProcess_;
};

/** Processes of an experiment on loopback: the log, daemons and backend servers. */
class Cluster
{
public:
    /** Starts all processes and publishes the release note. */
    static base::Result<std::unique_ptr<Cluster>> start(const PlannedCluster &plan,
                                                        const ClusterOptions &options);

    /** Terminates all processes; kills those that do not end in time. */
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    const std::vector<ClusterInstance> &instances() const { return instances_; }
    model::Address logAddress() const;

    /** Data ports of all daemons. */
    std::vector<model::Address> dataAddresses() const;

    /** Sends a signal to the processes that a step acts on. */
    void signal(const PlannedStep &step, int number);

    /** Instances that a step acts on. */
    std::vector<const ClusterInstance *> targetsOf(const PlannedStep &step) const;

private:
    Cluster(const PlannedCluster &plan, ClusterOptions options);

    base::Result<void> startAll();
    base::Result<void> startInstance(const PlannedService &service, std::uint32_t number);
    base::Result<void> writeSettings(const std::string &id, std::size_t index) const;
    base::Result<void> publishNote();
    model::Address address(std::size_t index, std::uint16_t offset) const;
    std::string seeds() const;
    std::string program(const char *name) const;
    std::string workFile(const std::string &name) const;
    std::vector<std::string> backendCommand(const PlannedService &service,
                                            const ClusterInstance &instance) const;

    const PlannedCluster &plan_;
    ClusterOptions options_;
    std::unique_ptr<ChildProcess> log_;
    std::vector<ClusterInstance> instances_;
};

} // namespace bench

#include <Cluster.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>
#include <utility>

namespace bench {

namespace {

constexpr const char *adminToken = "experiment-token";
constexpr std::uint16_t portsPerInstance = 5;
constexpr std::uint16_t peerOffset = 1;
constexpr std::uint16_t controlOffset = 2;
constexpr std::uint16_t adminOffset = 3;
constexpr std::uint16_t backendOffset = 4;
constexpr std::size_t maxSeeds = 3;
constexpr int publishAttempts = 40;
constexpr auto publishRetryInterval = std::chrono::milliseconds(250);
constexpr base::Millis publishTimeout(10'000);
constexpr base::Millis stopTimeout(8000);

std::size_t instanceCount(const PlannedCluster &plan)
{
    std::size_t count = 0;
    for (const PlannedService &service : plan.services_) {
        count += service.instances_;
    }
    return count;
}

base::Result<void> writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) {
        return base::fail("write-failed", "cannot write " + path);
    }
    return {};
}

} // namespace

base::Result<std::unique_ptr<Cluster>> Cluster::start(const PlannedCluster &plan,
                                                      const ClusterOptions &options)
{
    std::unique_ptr<Cluster> cluster(new Cluster(plan, options));
    if (auto started = cluster->startAll(); !started) {
        return tl::unexpected(started.error());
    }
    return cluster;
}

Cluster::Cluster(const PlannedCluster &plan, ClusterOptions options)
    : plan_(plan)
    , options_(std::move(options))
{}

Cluster::~Cluster()
{
    for (const ClusterInstance &instance : instances_) {
        for (ChildProcess *process :
             {instance.backendProcess_.get(), instance.daemonProcess_.get()}) {
            if (process != nullptr) {
                process->signal(SIGCONT);
                process->signal(SIGTERM);
            }
        }
    }
    for (const ClusterInstance &instance : instances_) {
        if (instance.backendProcess_) {
            instance.backendProcess_->waitFor(stopTimeout);
        }
        if (instance.daemonProcess_) {
            instance.daemonProcess_->waitFor(stopTimeout);
        }
    }
}

base::Result<void> Cluster::startAll()
{
    auto log = ChildProcess::start(
            {program("fuchsiadock-bench"), "log", "--listen", logAddress().text()},
            workFile("log.out"));
    if (!log) {
        return tl::unexpected(log.error());
    }
    log_ = std::move(*log);
    for (const PlannedService &service : plan_.services_) {
        for (std::uint32_t number = 0; number < service.instances_; ++number) {
            if (auto started = startInstance(service, number); !started) {
                return started;
            }
        }
    }
    return publishNote();
}

base::Result<void> Cluster::startInstance(const PlannedService &service, std::uint32_t number)
{
    const std::size_t index = instances_.size();
    const std::string id = service.name_ + "-" + std::to_string(number);
    instances_.push_back(ClusterInstance{service.name_, number, address(index, 0),
                                         address(index, backendOffset), nullptr, nullptr});
    if (auto written = writeSettings(id, index); !written) {
        return written;
    }
    auto daemon = ChildProcess::start(
            {program("fuchsiadock"), "daemon", "--settings", workFile(id + ".yaml")},
            workFile(id + ".out"));
    if (!daemon) {
        return tl::unexpected(daemon.error());
    }
    instances_[index].daemonProcess_ = std::move(*daemon);
    auto backend = ChildProcess::start(backendCommand(service, instances_[index]),
                                       workFile(id + "-backend.out"));
    if (!backend) {
        return tl::unexpected(backend.error());
    }
    instances_[index].backendProcess_ = std::move(*backend);
    return {};
}

base::Result<void> Cluster::writeSettings(const std::string &id, std::size_t index) const
{
    const std::string &dataCentre =
            plan_.dataCentres_[instances_[index].number_ % plan_.dataCentres_.size()];
    return writeFile(workFile(id + ".yaml"),
                     "id: " + id + "\nregion: " + plan_.region_ + "\ndataCentre: " + dataCentre
                             + "\ndataAddress: " + address(index, 0).text()
                             + "\npeerAddress: " + address(index, peerOffset).text()
                             + "\ncontrolAddress: " + address(index, controlOffset).text()
                             + "\nadminAddress: " + address(index, adminOffset).text()
                             + "\nadminToken: " + adminToken + "\nseeds: [" + seeds() + "]\nlog: "
                             + logAddress().text() + "\nmode: " + options_.mode_ + "\n");
}

std::vector<std::string> Cluster::backendCommand(const PlannedService &service,
                                                 const ClusterInstance &instance) const
{
    std::vector<std::string> command = {program("fuchsiadock-bench"),
                                        "backend",
                                        "--listen",
                                        instance.backend_.text(),
                                        "--daemon",
                                        instance.data_.text(),
                                        "--service",
                                        service.name_,
                                        "--slots",
                                        std::to_string(service.slots_),
                                        "--connections",
                                        std::to_string(service.connections_),
                                        "--queue",
                                        std::to_string(service.queueLimit_),
                                        "--time-ms",
                                        std::to_string(service.serviceTime_.mean_.fractional()),
                                        "--time-variation",
                                        std::to_string(service.serviceTime_.variation_),
                                        "--contention",
                                        std::to_string(service.contentionFactor_),
                                        "--seed",
                                        std::to_string(plan_.seed_ + instances_.size())};
    for (const std::string &call : service.calls_) {
        command.insert(command.end(), {"--call", call});
    }
    return command;
}

base::Result<void> Cluster::publishNote()
{
    if (auto written = writeFile(workFile("token"), std::string(adminToken) + "\n"); !written) {
        return written;
    }
    for (int attempt = 0; attempt < publishAttempts; ++attempt) {
        auto publish = ChildProcess::start(
                {program("fuchsiadock"), "note", "publish", options_.noteFile_, "--admin",
                 address(0, adminOffset).text(), "--token-file", workFile("token")},
                workFile("publish.out"));
        if (!publish) {
            return tl::unexpected(publish.error());
        }
        if ((*publish)->waitFor(publishTimeout) && (*publish)->exitCode() == 0) {
            return {};
        }
        std::this_thread::sleep_for(publishRetryInterval);
    }
    return base::fail("not-published",
                      "the release note was not accepted; see " + workFile("publish.out"));
}

model::Address Cluster::logAddress() const
{
    return {"127.0.0.1", options_.firstPort_};
}

model::Address Cluster::address(std::size_t index, std::uint16_t offset) const
{
    const auto port = options_.firstPort_ + 1 + index * portsPerInstance + offset;
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

std::string Cluster::seeds() const
{
    std::string text;
    for (std::size_t index = 0; index < std::min(maxSeeds, instanceCount(plan_)); ++index) {
        text += (index == 0 ? "" : ", ") + address(index, controlOffset).text();
    }
    return text;
}

std::string Cluster::program(const char *name) const
{
    return options_.binaryDirectory_ + "/" + name;
}

std::string Cluster::workFile(const std::string &name) const
{
    return options_.workDirectory_ + "/" + name;
}

std::vector<model::Address> Cluster::dataAddresses() const
{
    std::vector<model::Address> addresses;
    for (const ClusterInstance &instance : instances_) {
        addresses.push_back(instance.data_);
    }
    return addresses;
}

std::vector<const ClusterInstance *> Cluster::targetsOf(const PlannedStep &step) const
{
    std::vector<const ClusterInstance *> targets;
    for (const ClusterInstance &instance : instances_) {
        if (instance.service_ == step.service_
            && (!step.instance_ || *step.instance_ == instance.number_)) {
            targets.push_back(&instance);
        }
    }
    return targets;
}

void Cluster::signal(const PlannedStep &step, int number)
{
    if (step.target_ == StepTarget::Log) {
        log_->signal(number);
        return;
    }
    for (const ClusterInstance *instance : targetsOf(step)) {
        const auto &process = step.target_ == StepTarget::Daemon ? instance->daemonProcess_
                                                                 : instance->backendProcess_;
        process->signal(number);
    }
}

} // namespace bench

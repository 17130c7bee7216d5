#include <algorithm>

#include <SimulatedCluster.h>

#include "Runs.h"
#include "Usage.h"

using base::Millis;

namespace {

constexpr Millis oneSecond(1000);

/** One-way network delay within a region. */
constexpr Millis oneWayDelay(1);
constexpr double lossProbability = 0.001;

class VirtualRun
{
public:
    explicit VirtualRun(const RunOptions &options)
        : options_(options)
        , cluster_(options.seed_)
        , dataCentreSize_(options.members_ / options.dataCentres_)
    {
        cluster_.delay_ = oneWayDelay;
        cluster_.loss_ = lossProbability;
        cluster_.onStep_ = [this] {
            adoptHighestRevisions();
        };
    }

    void run()
    {
        const auto before = residentBytes();
        cluster_.startAll(options_.dataCentres_, dataCentreSize_);
        report("start of all: time to converge", runUntilConverged(), "s");
        const auto entries =
                static_cast<double>(cluster_.daemons_.size() * cluster_.daemons_.size());
        report("memory for one member at one daemon",
               static_cast<double>(residentBytes() - before) / entries, "bytes");
        cluster_.run(oneSecond * 30);
        measureSteadyState("steady", false);
        measureSteadyState("steady, one note in 17 s", true);
        measureDrains();
        measureCrashes();
        measureMassRestart();
        measurePartitionRecovery();
    }

private:
    /** Bytes sent in an interval, over all daemons. */
    struct Traffic
    {
        double mean_ = 0;
        double max_ = 0;
    };

    void adoptHighestRevisions()
    {
        for (auto &[id, daemon] : cluster_.daemons_) {
            if (daemon.core_ && daemon.core_->highestRevision() > daemon.core_->self().revision_)
                cluster_.sendEvent(id,
                                   membership::RevisionInForce{daemon.core_->highestRevision()});
        }
    }

    std::map<std::string, std::size_t> bytesSent() const
    {
        std::map<std::string, std::size_t> bytes;
        for (const auto &[id, daemon] : cluster_.daemons_)
            bytes[id] = daemon.bytes_;
        return bytes;
    }

    Traffic trafficSince(const std::map<std::string, std::size_t> &before) const
    {
        Traffic traffic;
        for (const auto &[id, daemon] : cluster_.daemons_) {
            const auto bytes = static_cast<double>(daemon.bytes_ - before.at(id));
            traffic.mean_ += bytes / static_cast<double>(cluster_.daemons_.size());
            traffic.max_ = std::max(traffic.max_, bytes);
        }
        return traffic;
    }

    /** Seconds until all views have converged, or -1; records the peak traffic per second in peak_.
     */
    double runUntilConverged()
    {
        constexpr int limit = 600;
        peak_ = {};
        for (int i = 0; i < limit; ++i) {
            const auto before = bytesSent();
            cluster_.run(oneSecond);
            const auto traffic = trafficSince(before);
            peak_.mean_ = std::max(peak_.mean_, traffic.mean_);
            peak_.max_ = std::max(peak_.max_, traffic.max_);
            if (cluster_.isConverged())
                return i + 1;
        }
        return -1;
    }

    void measureSteadyState(const char *name, bool withReleaseNotes)
    {
        constexpr unsigned releaseNoteInterval = 17;
        const auto before = bytesSent();
        const auto processor = cpuTime();
        for (unsigned i = 0; i < options_.seconds_; ++i) {
            if (withReleaseNotes && i % releaseNoteInterval == 0)
                cluster_.sendEvent("d0-1", membership::RevisionInForce{++revision_});
            cluster_.run(oneSecond);
        }
        const auto traffic = trafficSince(before);
        const auto seconds = static_cast<double>(options_.seconds_);
        if (!withReleaseNotes)
            steadyBytesPerSecond_ = traffic.mean_ / seconds;
        std::printf(" %s\n", name);
        report("sent by a daemon, mean", traffic.mean_ / seconds, "bytes/s");
        report("sent by a daemon, most (relay)", traffic.max_ / seconds, "bytes/s");
        report("processor time for a daemon, no system calls",
               (cpuTime() - processor).fractional() / seconds / cluster_.daemons_.size(), "ms/s");
    }

    template<typename Condition>
    double timeUntilAll(Condition condition)
    {
        const auto start = cluster_.now_;
        cluster_.runUntil(
                [&] {
                    return std::all_of(cluster_.daemons_.begin(), cluster_.daemons_.end(),
                                       [&](const auto &item) {
                                           return !item.second.core_
                                                  || condition(*item.second.core_);
                                       });
                },
                oneSecond * 120);
        return (cluster_.now_ - start).fractional() / 1000;
    }

    std::string randomDaemonId()
    {
        return SimulatedCluster::name(
                static_cast<unsigned>(cluster_.random_.below(options_.dataCentres_)),
                static_cast<unsigned>(2 + cluster_.random_.below(dataCentreSize_ - 2)));
    }

    void reportTimes(const char *name, std::vector<double> times)
    {
        std::sort(times.begin(), times.end());
        std::printf(" %s, %zu times\n", name, times.size());
        report("median", times[times.size() / 2], "s");
        report("most", times.back(), "s");
    }

    void measureDrains()
    {
        constexpr int count = 40;
        std::vector<double> times;
        const auto before = bytesSent();
        const auto start = cluster_.now_;
        for (int i = 0; i < count; ++i) {
            const auto id = randomDaemonId();
            const auto slots = static_cast<std::uint32_t>(i + 1);
            cluster_.sendEvent(
                    id, membership::ServiceChanged{model::ServingState::Draining, "s", slots});
            times.push_back(timeUntilAll([&](const membership::Core &core) {
                return core.find(id)->member_.slots_ == slots;
            }));
            cluster_.run(oneSecond * 2);
        }
        reportTimes("drain until known everywhere", times);
        const auto seconds = (cluster_.now_ - start).fractional() / 1000;
        report("sent by a daemon for a change, above steady",
               (trafficSince(before).mean_ - steadyBytesPerSecond_ * seconds) / count, "bytes");
    }

    void measureCrashes()
    {
        constexpr int count = 12;
        std::vector<double> times;
        for (int i = 0; i < count; ++i) {
            const auto id = randomDaemonId();
            cluster_.crash(id);
            times.push_back(timeUntilAll([&](const membership::Core &core) {
                const auto *record = core.find(id);
                return !record || !record->isLive();
            }));
            cluster_.restart(id);
            runUntilConverged();
        }
        reportTimes("crash until known everywhere", times);
    }

    void measureMassRestart()
    {
        for (unsigned i = 0; i < dataCentreSize_; ++i)
            cluster_.crash(SimulatedCluster::name(0, i));
        cluster_.run(oneSecond * 5);
        const auto processor = cpuTime();
        for (unsigned i = 0; i < dataCentreSize_; ++i)
            cluster_.restart(SimulatedCluster::name(0, i));
        std::printf(" restart of a data centre at once\n");
        reportRecovery(processor);
    }

    void measurePartitionRecovery()
    {
        const auto half = options_.dataCentres_ / 2;
        const auto isInFirstRegion = [half](const std::string &id) {
            return std::stoul(id.substr(1)) < half;
        };
        cluster_.isCut_ = [=](const std::string &a, const std::string &b) {
            return isInFirstRegion(a) != isInFirstRegion(b);
        };
        for (unsigned i = 0; i < std::max(1U, options_.members_ / 50); ++i) {
            cluster_.restart(randomDaemonId());
            cluster_.run(oneSecond * 2);
        }
        cluster_.run(oneSecond * 60);
        cluster_.isCut_ = [](const std::string &, const std::string &) {
            return false;
        };
        const auto processor = cpuTime();
        std::printf(" heal of two regions after restarts of one in 50\n");
        reportRecovery(processor);
    }

    void reportRecovery(Millis processorBefore)
    {
        const auto time = runUntilConverged();
        const auto processor = (cpuTime() - processorBefore).fractional();
        report("time to converge", time, "s");
        report("busiest second of a daemon, mean", peak_.mean_, "bytes/s");
        report("busiest second of the busiest daemon", peak_.max_, "bytes/s");
        report("processor time for a daemon (with the checks)",
               processor / time / cluster_.daemons_.size(), "ms/s");
    }

    RunOptions options_;
    SimulatedCluster cluster_;
    unsigned dataCentreSize_;
    model::Revision revision_ = 0;
    Traffic peak_;
    double steadyBytesPerSecond_ = 0; ///< mean of all daemons
};

} // namespace

void runVirtual(const RunOptions &options)
{
    VirtualRun(options).run();
}

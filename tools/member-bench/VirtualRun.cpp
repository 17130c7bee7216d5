#include <algorithm>

#include <SimulatedCluster.h>

#include "Runs.h"
#include "Usage.h"

using base::Millis;

namespace {

constexpr Millis second(1000);

/** One way on a network inside a region. */
constexpr Millis delay(1);
constexpr double loss = 0.001;

class VirtualRun
{
public:
    explicit VirtualRun(const RunOptions &options)
        : options_(options)
        , cluster_(options.seed_)
        , size_(options.members_ / options.dataCentres_)
    {
        cluster_.delay_ = delay;
        cluster_.loss_ = loss;
        cluster_.onStep_ = [this] {
            pullRevisions();
        };
    }

    void run()
    {
        const auto before = residentBytes();
        cluster_.startAll(options_.dataCentres_, size_);
        report("start of all: time to converge", settle(), "s");
        const auto entries =
                static_cast<double>(cluster_.daemons_.size() * cluster_.daemons_.size());
        report("memory for one member at one daemon",
               static_cast<double>(residentBytes() - before) / entries, "bytes");
        cluster_.run(second * 30);
        steady("steady", false);
        steady("steady, one note in 17 s", true);
        drains();
        crashes();
        massRestart();
        heal();
    }

private:
    /** Bytes sent between two points, by daemon. */
    struct Traffic
    {
        double mean_ = 0;
        double most_ = 0;
    };

    void pullRevisions()
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

    Traffic since(const std::map<std::string, std::size_t> &before) const
    {
        Traffic traffic;
        for (const auto &[id, daemon] : cluster_.daemons_) {
            const auto bytes = static_cast<double>(daemon.bytes_ - before.at(id));
            traffic.mean_ += bytes / static_cast<double>(cluster_.daemons_.size());
            traffic.most_ = std::max(traffic.most_, bytes);
        }
        return traffic;
    }

    /** Seconds until all know all; also keeps the busiest second of any daemon. */
    double settle()
    {
        constexpr int limit = 600;
        peak_ = {};
        for (int i = 0; i < limit; ++i) {
            const auto before = bytesSent();
            cluster_.run(second);
            const auto traffic = since(before);
            peak_.mean_ = std::max(peak_.mean_, traffic.mean_);
            peak_.most_ = std::max(peak_.most_, traffic.most_);
            if (cluster_.isConverged())
                return i + 1;
        }
        return -1;
    }

    void steady(const char *name, bool withNotes)
    {
        constexpr unsigned noteInterval = 17;
        const auto before = bytesSent();
        const auto processor = processorTime();
        for (unsigned i = 0; i < options_.seconds_; ++i) {
            if (withNotes && i % noteInterval == 0)
                cluster_.sendEvent("d0-1", membership::RevisionInForce{++revision_});
            cluster_.run(second);
        }
        const auto traffic = since(before);
        const auto seconds = static_cast<double>(options_.seconds_);
        if (!withNotes)
            steadyBytes_ = traffic.mean_ / seconds;
        std::printf(" %s\n", name);
        report("sent by a daemon, mean", traffic.mean_ / seconds, "bytes/s");
        report("sent by a daemon, most (relay)", traffic.most_ / seconds, "bytes/s");
        report("processor time for a daemon, no system calls",
               (processorTime() - processor).fractional() / seconds / cluster_.daemons_.size(),
               "ms/s");
    }

    template<typename Condition>
    double timeUntilAll(Condition holds)
    {
        const auto start = cluster_.now_;
        cluster_.runUntil(
                [&] {
                    return std::all_of(cluster_.daemons_.begin(), cluster_.daemons_.end(),
                                       [&](const auto &item) {
                                           return !item.second.core_ || holds(*item.second.core_);
                                       });
                },
                second * 120);
        return (cluster_.now_ - start).fractional() / 1000;
    }

    std::string anyone()
    {
        return SimulatedCluster::name(
                static_cast<unsigned>(cluster_.random_.below(options_.dataCentres_)),
                static_cast<unsigned>(2 + cluster_.random_.below(size_ - 2)));
    }

    void reportTimes(const char *name, std::vector<double> times)
    {
        std::sort(times.begin(), times.end());
        std::printf(" %s, %zu times\n", name, times.size());
        report("median", times[times.size() / 2], "s");
        report("most", times.back(), "s");
    }

    void drains()
    {
        constexpr int count = 40;
        std::vector<double> times;
        const auto before = bytesSent();
        const auto start = cluster_.now_;
        for (int i = 0; i < count; ++i) {
            const auto id = anyone();
            const auto slots = static_cast<std::uint32_t>(i + 1);
            cluster_.sendEvent(
                    id, membership::ServiceChanged{model::ServingState::Draining, "s", slots});
            times.push_back(timeUntilAll([&](const membership::Core &core) {
                return core.find(id)->member_.slots_ == slots;
            }));
            cluster_.run(second * 2);
        }
        reportTimes("drain until known everywhere", times);
        const auto seconds = (cluster_.now_ - start).fractional() / 1000;
        report("sent by a daemon for a change, above steady",
               (since(before).mean_ - steadyBytes_ * seconds) / count, "bytes");
    }

    void crashes()
    {
        constexpr int count = 12;
        std::vector<double> times;
        for (int i = 0; i < count; ++i) {
            const auto id = anyone();
            cluster_.crash(id);
            times.push_back(timeUntilAll([&](const membership::Core &core) {
                const auto *record = core.find(id);
                return !record || !record->isLive();
            }));
            cluster_.restart(id);
            settle();
        }
        reportTimes("crash until known everywhere", times);
    }

    void massRestart()
    {
        for (unsigned i = 0; i < size_; ++i)
            cluster_.crash(SimulatedCluster::name(0, i));
        cluster_.run(second * 5);
        const auto processor = processorTime();
        for (unsigned i = 0; i < size_; ++i)
            cluster_.restart(SimulatedCluster::name(0, i));
        std::printf(" restart of a data centre at once\n");
        reportRecovery(processor);
    }

    void heal()
    {
        const auto half = options_.dataCentres_ / 2;
        const auto isLow = [half](const std::string &id) {
            return std::stoul(id.substr(1)) < half;
        };
        cluster_.isCut_ = [=](const std::string &a, const std::string &b) {
            return isLow(a) != isLow(b);
        };
        for (unsigned i = 0; i < std::max(1U, options_.members_ / 50); ++i) {
            cluster_.restart(anyone());
            cluster_.run(second * 2);
        }
        cluster_.run(second * 60);
        cluster_.isCut_ = [](const std::string &, const std::string &) {
            return false;
        };
        const auto processor = processorTime();
        std::printf(" heal of two regions after restarts of one in 50\n");
        reportRecovery(processor);
    }

    void reportRecovery(Millis processorBefore)
    {
        const auto time = settle();
        const auto processor = (processorTime() - processorBefore).fractional();
        report("time to converge", time, "s");
        report("busiest second of a daemon, mean", peak_.mean_, "bytes/s");
        report("busiest second of the busiest daemon", peak_.most_, "bytes/s");
        report("processor time for a daemon (with the checks)",
               processor / time / cluster_.daemons_.size(), "ms/s");
    }

    RunOptions options_;
    SimulatedCluster cluster_;
    unsigned size_;
    model::Revision revision_ = 0;
    Traffic peak_;
    double steadyBytes_ = 0; ///< a second, mean of all daemons
};

} // namespace

void runVirtual(const RunOptions &options)
{
    VirtualRun(options).run();
}

#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <base/Overloaded.h>
#include <base/Random.h>
#include <membership/Codec.h>
#include <membership/Core.h>

/**
 * Runs several cores in virtual time: delivers their datagrams and serves their state fetches.
 *
 * Can inject faults, but does not model a network.
 */
class SimulatedCluster
{
public:
    struct Daemon
    {
        membership::Options options_;
        std::unique_ptr<membership::Core> core_; ///< null while crashed
        bool isPaused_ = false;
        std::vector<std::function<void()>> pendingDeliveries_; ///< received during a pause
        std::size_t bytes_ = 0;                                ///< sent, by UDP and TCP
        std::size_t datagrams_ = 0;
    };

    explicit SimulatedCluster(std::uint64_t seed)
        : random_(seed)
    {}

    static model::Address address(unsigned index)
    {
        return {"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1),
                7000};
    }

    static std::string dataCentreName(unsigned index) { return "dc" + std::to_string(index); }

    /** Starts a daemon, or restarts it with a higher generation. */
    void start(const std::string &id, const std::string &dataCentre, model::Address controlAddress,
               std::vector<model::Address> seeds, membership::Timing timing = {})
    {
        membership::Options options;
        options.self_.id_ = id;
        options.self_.generation_ = generation_ += 10;
        options.self_.region_ = "region";
        options.self_.dataCentre_ = dataCentre;
        options.self_.peerAddress_ = controlAddress;
        options.self_.controlAddress_ = controlAddress;
        options.seeds_ = std::move(seeds);
        options.randomSeed_ = random_.below(UINT32_MAX);
        options.timing_ = timing;
        auto &daemon = daemons_[id];
        daemon.options_ = options;
        daemon.core_ = std::make_unique<membership::Core>(options);
        daemon.isPaused_ = false;
        daemon.pendingDeliveries_.clear();
    }

    /**
     * Starts data centres of the given size, with daemons named dN-I for data centre N.
     *
     * The seeds are the first two daemons of every data centre.
     */
    void startAll(unsigned dataCentres, unsigned size, membership::Timing timing = {})
    {
        std::vector<model::Address> seeds;
        for (unsigned n = 0; n < dataCentres; ++n) {
            for (unsigned i = 0; i < std::min(size, 2U); ++i)
                seeds.push_back(address(n * size + i));
        }
        for (unsigned n = 0; n < dataCentres; ++n) {
            for (unsigned i = 0; i < size; ++i)
                start(name(n, i), dataCentreName(n), address(n * size + i), seeds, timing);
        }
    }

    static std::string name(unsigned dataCentre, unsigned index)
    {
        return "d" + std::to_string(dataCentre) + "-" + std::to_string(index);
    }

    void restart(const std::string &id)
    {
        const auto options = daemons_.at(id).options_;
        start(id, options.self_.dataCentre_, options.self_.controlAddress_, options.seeds_,
              options.timing_);
    }

    void crash(const std::string &id) { daemons_.at(id).core_.reset(); }
    void pause(const std::string &id) { daemons_.at(id).isPaused_ = true; }

    void resume(const std::string &id)
    {
        daemons_.at(id).isPaused_ = false;
        for (const auto &delivery : std::exchange(daemons_.at(id).pendingDeliveries_, {}))
            delivery();
    }

    void sendEvent(const std::string &id, const membership::Event &event)
    {
        auto &daemon = daemons_.at(id);
        if (daemon.core_)
            execute(id, daemon.core_->handle(event, now_));
    }

    void run(base::Millis time)
    {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ = now_ + tickInterval;
            while (!pending_.empty() && pending_.begin()->first <= now_) {
                const auto action = std::move(pending_.begin()->second);
                pending_.erase(pending_.begin());
                action();
            }
            for (auto &[id, daemon] : daemons_) {
                if (daemon.core_ && !daemon.isPaused_)
                    sendEvent(id, membership::Tick{});
            }
            if (onStep_)
                onStep_();
        }
    }

    membership::Core &core(const std::string &id) { return *daemons_.at(id).core_; }
    bool isRunning(const std::string &id) const { return daemons_.at(id).core_ != nullptr; }

    bool isConverged() const { return differences().empty(); }

    /**
     * Errors in the views of running daemons, one a line: every running daemon must be listed in
     * its current generation, and no stopped one. Stopped daemons of a data centre without a
     * running daemon may stay listed, since no daemon can detect their failure.
     */
    std::string differences() const
    {
        std::set<std::string> activeDataCentres;
        for (const auto &[id, daemon] : daemons_) {
            if (daemon.core_)
                activeDataCentres.insert(daemon.options_.self_.dataCentre_);
        }
        std::string text;
        for (const auto &[observer, daemon] : daemons_) {
            if (!daemon.core_)
                continue;
            for (const auto &[id, other] : daemons_) {
                const auto *record = daemon.core_->find(id);
                const bool isListed = record && record->isLive();
                const bool isRunning = other.core_ != nullptr;
                const bool isOutdated =
                        isListed && isRunning
                        && record->member_.generation_ != other.core_->self().generation_;
                if (isOutdated)
                    text += observer + " lists an earlier process of " + id + "\n";
                if (isListed == isRunning)
                    continue;
                if (isRunning || activeDataCentres.contains(other.options_.self_.dataCentre_))
                    text += observer + (isRunning ? " misses " : " still lists ") + id + "\n";
            }
        }
        return text;
    }

    std::set<std::string> listedIds(const std::string &id) const
    {
        std::set<std::string> ids;
        for (const auto &member : daemons_.at(id).core_->members())
            ids.insert(member.id_);
        return ids;
    }

    /** Runs until the condition holds; returns false if it does not within the limit. */
    bool runUntil(const std::function<bool()> &condition, base::Millis limit)
    {
        const auto end = now_ + limit;
        while (!condition()) {
            if (now_ >= end)
                return false;
            run(tickInterval);
        }
        return true;
    }

    std::function<bool(const std::string &from, const std::string &to)> isCut_ = [](const auto &,
                                                                                    const auto &) {
        return false;
    };
    std::function<void()> onStep_;
    std::function<void(const std::string &from, const membership::Datagram &)> onSend_;
    double loss_ = 0;                 ///< probability for each datagram
    double duplicateProbability_ = 0; ///< for each datagram
    base::Millis delay_ = base::Millis(1);
    base::Millis maxExtraDelay_; ///< upper bound of a random delay of each datagram
    std::size_t largestDatagram_ = 0;
    base::Millis now_ = base::Millis(1000);
    std::map<std::string, Daemon> daemons_;
    base::Random random_;
    std::uint64_t generation_ = 1'000'000; ///< of the daemon started most recently

private:
    void execute(const std::string &from, const std::vector<membership::Command> &commands)
    {
        for (const auto &command : commands) {
            std::visit(
                    base::Overloaded{
                            [&](const membership::Send &send) { sendDatagram(from, send); },
                            [&](const membership::FetchState &fetch) { fetchState(from, fetch); },
                            [](const membership::FindSeeds &) {},
                            [](const membership::MembersChanged &) {},
                    },
                    command);
        }
    }

    /** Id of the running daemon started most recently at the address, or an empty string. */
    std::string daemonAt(const model::Address &address) const
    {
        std::string found;
        std::uint64_t generation = 0;
        for (const auto &id : owners(address)) {
            const auto &daemon = daemons_.at(id);
            if (daemon.core_ && daemon.options_.self_.generation_ > generation) {
                found = id;
                generation = daemon.options_.self_.generation_;
            }
        }
        return found;
    }

    const std::vector<std::string> &owners(const model::Address &address) const
    {
        if (indexedDaemons_ != daemons_.size()) {
            index_.clear();
            for (const auto &[id, daemon] : daemons_)
                index_[daemon.options_.self_.controlAddress_].push_back(id);
            indexedDaemons_ = daemons_.size();
        }
        const auto found = index_.find(address);
        return found == index_.end() ? noOwners_ : found->second;
    }

    void sendDatagram(const std::string &from, const membership::Send &send)
    {
        if (onSend_)
            onSend_(from, send.datagram_);
        const auto bytes = codec_.encode(send.datagram_);
        largestDatagram_ = std::max(largestDatagram_, bytes.size());
        auto &sender = daemons_.at(from);
        sender.bytes_ += bytes.size();
        ++sender.datagrams_;
        const auto to = daemonAt(send.to_);
        if (to.empty() || isCut_(from, to) || random_.unit() < loss_)
            return;
        const auto source = sender.options_.self_.controlAddress_;
        const int copies = random_.unit() < duplicateProbability_ ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            auto due = now_ + delay_;
            if (maxExtraDelay_ > base::Millis())
                due = due
                      + base::Millis(static_cast<long>(random_.below(
                              static_cast<std::uint64_t>(maxExtraDelay_.count()) + 1)));
            pending_.emplace(due, [this, to, source, bytes] { deliver(to, source, bytes); });
        }
    }

    void deliver(const std::string &to, const model::Address &source, const std::string &bytes)
    {
        auto &daemon = daemons_.at(to);
        if (!daemon.core_)
            return;
        if (daemon.isPaused_) {
            daemon.pendingDeliveries_.emplace_back(
                    [this, to, source, bytes] { deliver(to, source, bytes); });
            return;
        }
        sendEvent(to, membership::DatagramReceived{source, codec_.decode(bytes).value()});
    }

    void serveFetch(const std::string &from, const std::string &to,
                    const membership::FetchState &fetch)
    {
        const auto bytes = codec_.encodeState(core(to).state(now_, fetch.dataCentre_));
        daemons_.at(to).bytes_ += bytes.size();
        sendEvent(from, membership::StateFetched{fetch.from_, fetch.request_,
                                                 codec_.decodeState(bytes).value()});
    }

    void fetchState(const std::string &from, const membership::FetchState &fetch)
    {
        const auto to = daemonAt(fetch.from_);
        pending_.emplace(now_ + delay_ * 2, [this, from, to, fetch] {
            const bool isServed = !to.empty() && isRunning(to) && !daemons_.at(to).isPaused_
                                  && !core(to).isCatchingUp() && !isCut_(from, to)
                                  && !isCut_(to, from);
            if (!isRunning(from))
                return;
            if (isServed)
                serveFetch(from, to, fetch);
            else
                sendEvent(from, membership::StateFetchFailed{fetch.request_});
        });
    }

    static constexpr base::Millis tickInterval = base::Millis(100);
    membership::Codec codec_ = membership::Codec("secret");
    std::multimap<base::Millis, std::function<void()>> pending_;
    mutable std::map<model::Address, std::vector<std::string>> index_;
    mutable std::size_t indexedDaemons_ = 0;
    std::vector<std::string> noOwners_;
};

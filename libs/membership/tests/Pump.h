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

/** Carries the commands of several cores in virtual time, with faults. Not a model of a network. */
class Pump
{
public:
    struct Daemon
    {
        membership::Options options_;
        std::unique_ptr<membership::Core> core_; ///< null while crashed
        bool isPaused_ = false;
        std::vector<std::function<void()>> held_; ///< arrived during a pause
        std::size_t bytes_ = 0;                   ///< sent, by UDP and TCP
        std::size_t datagrams_ = 0;
    };

    explicit Pump(std::uint64_t seed)
        : random_(seed)
    {}

    static model::Address address(unsigned index)
    {
        return {"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1),
                7000};
    }

    static std::string dataCentreName(unsigned index) { return "dc" + std::to_string(index); }

    /** Starts daemon dN-I for data centre N; seeds are the first daemons of every data centre. */
    void start(const std::string &id, const std::string &dataCentre, model::Address at,
               std::vector<model::Address> seeds, membership::Timing timing = {})
    {
        membership::Options options;
        options.self_.id_ = id;
        options.self_.generation_ = generation_ += 10;
        options.self_.region_ = "region";
        options.self_.dataCentre_ = dataCentre;
        options.self_.peerAddress_ = at;
        options.self_.controlAddress_ = at;
        options.seeds_ = std::move(seeds);
        options.randomSeed_ = random_.below(UINT32_MAX);
        options.timing_ = timing;
        auto &daemon = daemons_[id];
        daemon.options_ = options;
        daemon.core_ = std::make_unique<membership::Core>(options);
        daemon.isPaused_ = false;
        daemon.held_.clear();
    }

    /** Data centres of the given size, with daemons named dN-I. */
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

    void wake(const std::string &id)
    {
        daemons_.at(id).isPaused_ = false;
        for (const auto &arrival : std::exchange(daemons_.at(id).held_, {}))
            arrival();
    }

    void tell(const std::string &id, const membership::Event &event)
    {
        auto &daemon = daemons_.at(id);
        if (daemon.core_)
            carryOut(id, daemon.core_->handle(event, now_));
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
                    tell(id, membership::Tick{});
            }
            if (onStep_)
                onStep_();
        }
    }

    membership::Core &core(const std::string &id) { return *daemons_.at(id).core_; }
    bool isRunning(const std::string &id) const { return daemons_.at(id).core_ != nullptr; }

    bool isConverged() const { return differences().empty(); }

    /**
     * Each wrong belief of a running daemon in a line: all that run must be listed, and nobody
     * else. Only in a data centre where nobody runs is there nobody to tell who has stopped.
     */
    std::string differences() const
    {
        std::set<std::string> judged;
        for (const auto &[id, daemon] : daemons_) {
            if (daemon.core_)
                judged.insert(daemon.options_.self_.dataCentre_);
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
                if (isRunning || judged.contains(other.options_.self_.dataCentre_))
                    text += observer + (isRunning ? " misses " : " still lists ") + id + "\n";
            }
        }
        return text;
    }

    std::set<std::string> listed(const std::string &id) const
    {
        std::set<std::string> ids;
        for (const auto &member : daemons_.at(id).core_->members())
            ids.insert(member.id_);
        return ids;
    }

    /** Runs until the condition holds; false after the limit. */
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
    double loss_ = 0;
    double duplicated_ = 0;
    base::Millis delay_ = base::Millis(1);
    base::Millis extraDelay_; ///< at most, random for each datagram
    std::size_t largestDatagram_ = 0;
    base::Millis now_ = base::Millis(1000);
    std::map<std::string, Daemon> daemons_;
    base::Random random_;
    std::uint64_t generation_ = 1'000'000; ///< of the daemon started last

private:
    void carryOut(const std::string &from, const std::vector<membership::Command> &commands)
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

    /** The running daemon that was last started at the address, or an empty name. */
    std::string at(const model::Address &address) const
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
        if (indexed_ != daemons_.size()) {
            index_.clear();
            for (const auto &[id, daemon] : daemons_)
                index_[daemon.options_.self_.controlAddress_].push_back(id);
            indexed_ = daemons_.size();
        }
        const auto found = index_.find(address);
        return found == index_.end() ? nobody_ : found->second;
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
        const auto to = at(send.to_);
        if (to.empty() || isCut_(from, to) || random_.unit() < loss_)
            return;
        const auto source = sender.options_.self_.controlAddress_;
        const int copies = random_.unit() < duplicated_ ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            auto due = now_ + delay_;
            if (extraDelay_ > base::Millis())
                due = due
                      + base::Millis(static_cast<long>(
                              random_.below(static_cast<std::uint64_t>(extraDelay_.count()) + 1)));
            pending_.emplace(due, [this, to, source, bytes] { arrive(to, source, bytes); });
        }
    }

    void arrive(const std::string &to, const model::Address &source, const std::string &bytes)
    {
        auto &daemon = daemons_.at(to);
        if (!daemon.core_)
            return;
        if (daemon.isPaused_) {
            daemon.held_.emplace_back([this, to, source, bytes] { arrive(to, source, bytes); });
            return;
        }
        tell(to, membership::DatagramReceived{source, codec_.decode(bytes).value()});
    }

    void answerFetch(const std::string &from, const std::string &to,
                     const membership::FetchState &fetch)
    {
        const auto bytes = codec_.encodeState(core(to).state(now_, fetch.dataCentre_));
        daemons_.at(to).bytes_ += bytes.size();
        tell(from, membership::StateFetched{fetch.from_, fetch.request_,
                                            codec_.decodeState(bytes).value()});
    }

    void fetchState(const std::string &from, const membership::FetchState &fetch)
    {
        const auto to = at(fetch.from_);
        pending_.emplace(now_ + delay_ * 2, [this, from, to, fetch] {
            const bool isServed = !to.empty() && isRunning(to) && !daemons_.at(to).isPaused_
                                  && !core(to).isCatchingUp() && !isCut_(from, to)
                                  && !isCut_(to, from);
            if (!isRunning(from))
                return;
            if (isServed)
                answerFetch(from, to, fetch);
            else
                tell(from, membership::StateFetchFailed{fetch.request_});
        });
    }

    static constexpr base::Millis tickInterval = base::Millis(100);
    membership::Codec codec_ = membership::Codec("secret");
    std::multimap<base::Millis, std::function<void()>> pending_;
    mutable std::map<model::Address, std::vector<std::string>> index_;
    mutable std::size_t indexed_ = 0;
    std::vector<std::string> nobody_;
};

#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <allowance/Allotter.h>
#include <allowance/Authority.h>
#include <allowance/Codec.h>
#include <allowance/HandOver.h>
#include <allowance/Wallet.h>
#include <base/Hash.h>
#include <base/Overloaded.h>
#include <base/Random.h>
#include <model/Customer.h>

namespace allowance::tests {

/** Wallets, allotters and authorities of many daemons, with a queue of messages between them. */
class Cluster
{
public:
    struct Network
    {
        base::Millis minDelay_ = base::Millis(1);
        base::Millis maxDelay_ = base::Millis(3);
        double loss_ = 0;
        double duplicate_ = 0;
        double late_ = 0; ///< share of messages that take up to 5 s
        double storeLoss_ = 0;
        double storeLate_ = 0;
    };

    struct Result
    {
        std::vector<base::Millis> admitted_;
        std::vector<base::Millis> asked_;
        std::map<std::size_t, int> admittedAt_; ///< by daemon
        std::uint64_t spent_ = 0;
        std::uint64_t unknown_ = 0;
    };

    Cluster(std::size_t size, const Settings &settings, std::vector<model::Customer> customers,
            std::uint64_t seed)
        : settings_(settings)
        , random_(seed)
        , daemons_(size)
    {
        for (std::size_t i = 0; i < size; ++i)
            ids_["d" + std::to_string(i)] = i;
        setCustomers(std::move(customers));
        for (std::size_t i = 0; i < size; ++i)
            start(i);
    }

    base::Millis now() const { return now_; }
    Network &network() { return network_; }
    Result &result(const std::string &customer) { return results_[customer]; }
    int admittedAt(const std::string &customer, std::size_t index)
    {
        return results_[customer].admittedAt_[index];
    }
    std::uint64_t messages() const { return messages_; }
    std::uint64_t bytes() const { return bytes_; }
    std::uint64_t storeCalls() const { return storeCalls_; }
    void stopStoreUntil(base::Millis until) { storeDownUntil_ = until; }

    /** From now on admitted requests do not run, and are given back after this time; zero: run. */
    void setRefundAfter(base::Millis delay) { refundAfter_ = delay; }

    void setCustomers(std::vector<model::Customer> customers)
    {
        customers_ = std::move(customers);
        for (auto &daemon : daemons_)
            configure(daemon);
    }

    /** Starts the daemon, or restarts it without its state. */
    void start(std::size_t index)
    {
        auto &daemon = daemons_[index];
        const auto id = "d" + std::to_string(index);
        daemon.generation_ = ++generations_;
        daemon.isAlive_ = true;
        daemon.held_.clear();
        daemon.frozenUntil_ = {};
        daemon.wallet_ =
                std::make_unique<Wallet>(settings_, id, daemon.generation_, daemon.generation_);
        daemon.authorities_.assign(groupCount, Authority(settings_));
        daemon.allotters_.clear();
        daemon.handOvers_.assign(groupCount, {});
        for (std::uint32_t group = 0; group < groupCount; ++group) {
            daemon.allotters_.emplace_back(settings_);
            daemon.wallet_->setCandidates(group, candidates(group));
            if (candidates(group).front() == id)
                daemon.authorities_[group].claim(now_);
        }
        configure(daemon);
        tick(index, daemon.generation_);
    }

    void kill(std::size_t index)
    {
        daemons_[index].isAlive_ = false;
        daemons_[index].generation_ = 0;
    }

    void freeze(std::size_t index, base::Millis duration)
    {
        daemons_[index].frozenUntil_ = now_ + duration;
    }

    bool isAlive(std::size_t index) const { return daemons_[index].isAlive_; }

    /** Cuts the daemon off from all on another side; only side 0 reaches the store. */
    void setSide(std::size_t index, int side) { daemons_[index].side_ = side; }

    /** The daemon that holds the authority of the customer's group now; size() if none. */
    std::size_t allotterOf(const std::string &customer) const
    {
        std::size_t index = 0;
        while (index < daemons_.size()
               && !(daemons_[index].isAlive_
                    && daemons_[index].authorities_[groupOf(customer)].tenure(now_)))
            ++index;
        return index;
    }

    /** SIGTERM at the allotter: hands over to the next candidate. */
    void handOver(std::size_t index, std::uint32_t group)
    {
        auto &daemon = daemons_[index];
        HandOver message{group, 0, daemon.allotters_[group].resign(now_)};
        const auto end = daemon.authorities_[group].release();
        if (!end)
            return;
        message.end_ = *end;
        auto next = candidates(group);
        std::erase(next, "d" + std::to_string(index));
        const auto bytes = encode(message);
        send(index, ids_.at(next.front()), bytes.size(), [this, bytes](std::size_t at) {
            const auto received = *decodeHandOver(bytes);
            auto &target = daemons_[at];
            target.handOvers_[received.group_] = received;
            target.authorities_[received.group_].claimAfterHandOver(received.end_, now_);
            runAuthority(at, received.group_);
        });
    }

    /** Requests of the customer at these daemons in turn, as a Poisson process until `until`. */
    void load(const std::string &customer, std::vector<std::size_t> at, double perSecond,
              base::Millis until)
    {
        const double gap = -std::log(1 - random_.unit()) / perSecond;
        const auto next = now_ + base::Millis::fromMicros(static_cast<std::int64_t>(gap * 1e6));
        if (next >= until)
            return;
        schedule(next, [=, this] {
            request(at[random_.below(at.size())], customer);
            load(customer, at, perSecond, until);
        });
    }

    void runUntil(base::Millis end)
    {
        while (!events_.empty() && events_.top().at_ <= end) {
            now_ = events_.top().at_;
            const auto action = events_.top().action_;
            events_.pop();
            action();
        }
        now_ = end;
    }

    /** The largest number of requests admitted in any window, less the bound; at most 0 is good. */
    double excess(const std::string &customer, base::Millis from = {})
    {
        const auto allowance = *allowanceOf(customer);
        const double inWindow =
                allowance.ratePerSecond_ * settings_.window_.fractional() / 1000 + allowance.burst_;
        const double bound = inWindow * (1 + settings_.overrun_) + settings_.slack_;
        const auto &times = results_[customer].admitted_;
        double worst = -bound;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > settings_.window_ || times[first] < from)
                if (++first > last)
                    break;
            if (first <= last)
                worst = std::max(worst, static_cast<double>(last - first + 1) - bound);
        }
        return worst;
    }

    /** Share of what was asked in the interval that was admitted. */
    double admittedShare(const std::string &customer, base::Millis from, base::Millis to)
    {
        const auto count = [&](const std::vector<base::Millis> &times) {
            return static_cast<double>(std::count_if(times.begin(), times.end(), [&](auto time) {
                return time >= from && time < to;
            }));
        };
        return count(results_[customer].admitted_)
               / std::max(1.0, count(results_[customer].asked_));
    }

    void request(std::size_t index, const std::string &customer)
    {
        auto &daemon = daemons_[index];
        results_[customer].asked_.push_back(now_);
        if (!daemon.isAlive_ || now_ < daemon.frozenUntil_)
            return;
        const auto verdict = daemon.wallet_->admit(customer, *allowanceOf(customer), now_);
        if (std::holds_alternative<Held>(verdict)) {
            daemon.held_.push_back({customer, now_ + settings_.maxHold_});
            runWallet(index);
        } else {
            record(index, customer, verdict);
        }
    }

    std::vector<std::string> candidates(std::uint32_t group) const
    {
        std::vector<std::pair<std::uint64_t, std::string>> ranked;
        for (const auto &[id, index] : ids_)
            ranked.emplace_back(~base::rendezvousWeight("allotter-" + std::to_string(group), id),
                                id);
        std::sort(ranked.begin(), ranked.end());
        std::vector<std::string> result;
        for (std::size_t i = 0; i < std::min<std::size_t>(4, ranked.size()); ++i)
            result.push_back(ranked[i].second);
        return result;
    }

private:
    struct HeldRequest
    {
        std::string customer_;
        base::Millis deadline_;
    };

    struct Daemon
    {
        std::unique_ptr<Wallet> wallet_;
        std::vector<Authority> authorities_;
        std::vector<Allotter> allotters_;
        std::vector<std::optional<HandOver>> handOvers_;
        std::vector<HeldRequest> held_;
        std::uint64_t generation_ = 0;
        bool isAlive_ = false;
        base::Millis frozenUntil_;
        int side_ = 0;
    };

    struct Event
    {
        base::Millis at_;
        std::uint64_t order_ = 0;
        std::function<void()> action_;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at_, other.order_) < std::tie(at_, order_);
        }
    };

    struct Partition
    {
        std::uint64_t end_ = 0;
        std::map<std::string, std::uint64_t> appended_; ///< end by producer and sequence
        std::pair<std::size_t, std::uint64_t> last_; ///< daemon and generation of the last append
    };

    const model::Allowance *allowanceOf(const std::string &customer) const
    {
        for (const auto &known : customers_) {
            if (known.name_ == customer)
                return &*known.allowance_;
        }
        return nullptr;
    }

    void configure(Daemon &daemon)
    {
        if (!daemon.wallet_)
            return;
        std::vector<CustomerBounds> bounds;
        for (const auto &customer : customers_)
            bounds.push_back({customer.name_, Bounds::of(*customer.allowance_, settings_)});
        daemon.wallet_->setCustomers(customers_);
        for (auto &allotter : daemon.allotters_)
            allotter.setCustomers(bounds, now_);
    }

    void schedule(base::Millis at, std::function<void()> action)
    {
        events_.push({at, ++order_, std::move(action)});
    }

    base::Millis delay(double late)
    {
        if (random_.unit() < late)
            return base::Millis(static_cast<std::int64_t>(random_.below(5000)));
        const auto spread = network_.maxDelay_ - network_.minDelay_;
        return network_.minDelay_
               + base::Millis::fromMicros(
                       static_cast<std::int64_t>(random_.unit() * spread.micros()));
    }

    /** Runs the action at the daemon, after a pause if that is frozen. */
    void deliver(std::size_t to, std::uint64_t generation,
                 const std::function<void(std::size_t)> &action)
    {
        auto &daemon = daemons_[to];
        if (!daemon.isAlive_ || daemon.generation_ != generation)
            return;
        if (now_ < daemon.frozenUntil_) {
            schedule(daemon.frozenUntil_, [=, this] { deliver(to, generation, action); });
            return;
        }
        action(to);
    }

    void send(std::size_t from, std::size_t to, std::size_t bytes,
              const std::function<void(std::size_t)> &action)
    {
        ++messages_;
        bytes_ += bytes;
        const int copies = 1 + (random_.unit() < network_.duplicate_ ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy) {
            if (from != to && random_.unit() < network_.loss_)
                continue;
            schedule(now_ + (from == to ? base::Millis() : delay(network_.late_)), [=, this] {
                if (daemons_[from].side_ == daemons_[to].side_)
                    deliver(to, daemons_[to].generation_, action);
            });
        }
    }

    void tick(std::size_t index, std::uint64_t generation)
    {
        deliver(index, generation, [this](std::size_t at) {
            for (std::uint32_t group = 0; group < groupCount; ++group)
                runAuthority(at, group);
            settle(at);
            runWallet(at);
        });
        if (daemons_[index].isAlive_ && daemons_[index].generation_ == generation)
            schedule(now_ + base::Millis(20), [=, this] { tick(index, generation); });
    }

    void runWallet(std::size_t index)
    {
        for (const auto &[target, ask] : daemons_[index].wallet_->due(now_)) {
            const auto bytes = encode(ask);
            const auto generation = daemons_[index].generation_;
            send(index, ids_.at(target), bytes.size(), [=, this](std::size_t at) {
                const auto answer = encode(this->answer(at, *decodeAsk(bytes)));
                send(at, index, answer.size(), [=, this](std::size_t back) {
                    if (daemons_[back].generation_ != generation)
                        return;
                    daemons_[back].wallet_->onAnswer(*decodeAnswer(answer), now_);
                    settle(back);
                    runWallet(back);
                });
            });
        }
    }

    Answer answer(std::size_t index, const Ask &ask)
    {
        auto &daemon = daemons_[index];
        auto hint = daemon.wallet_->allotterOf(ask.group_, now_);
        if (hint == "d" + std::to_string(index))
            hint.clear();
        const bool isAllotter = daemon.allotters_[ask.group_].isActive(now_);
        if (isAllotter || hint.empty()) {
            daemon.authorities_[ask.group_].claim(now_);
            runAuthority(index, ask.group_);
        }
        if (isAllotter)
            return {ask.group_, ask.number_, daemon.allotters_[ask.group_].answer(ask, now_)};
        return {ask.group_, ask.number_, NotAllotter{hint}};
    }

    void runAuthority(std::size_t index, std::uint32_t group)
    {
        auto &daemon = daemons_[index];
        const auto append = daemon.authorities_[group].due(now_);
        if (!append) {
            if (const auto end = daemon.authorities_[group].awaitedEnd(now_))
                askHolder(index, group, *end);
            return;
        }
        ++storeCalls_;
        const auto generation = daemon.generation_;
        const auto reply = [=, this](const AppendResult &result) {
            deliver(index, generation,
                    [=, this](std::size_t at) { onAppendResult(at, group, *append, result); });
        };
        const auto timeout = now_ + base::Millis(400);
        if (daemon.side_ != 0 || now_ < storeDownUntil_) {
            schedule(timeout, [=] { reply(NoAnswer{}); });
            return;
        }
        const auto producer = std::to_string(index) + "." + std::to_string(generation) + "."
                              + std::to_string(append->series_) + "."
                              + std::to_string(append->sequence_);
        const bool isLost = random_.unit() < network_.storeLoss_;
        schedule(now_ + delay(network_.storeLate_), [=, this] {
            const auto result = execute(partitions_[group], *append, producer, {index, generation});
            if (isLost || now_ >= timeout)
                return;
            schedule(now_ + base::Millis(2), [=] { reply(result); });
        });
        schedule(timeout + base::Millis(2), [=] { reply(NoAnswer{}); });
    }

    /** Reads who appended last, and asks that daemon whether it is still that process. */
    void askHolder(std::size_t index, std::uint32_t group, std::uint64_t end)
    {
        const auto generation = daemons_[index].generation_;
        if (daemons_[index].side_ != 0 || now_ < storeDownUntil_ || partitions_[group].end_ != end)
            return;
        const auto [holder, process] = partitions_[group].last_;
        send(index, holder, 0, [=, this, process = process](std::size_t at) {
            if (daemons_[at].generation_ == process)
                return;
            send(at, index, 0, [=, this](std::size_t back) {
                if (daemons_[back].generation_ != generation)
                    return;
                daemons_[back].authorities_[group].onHolderEnded(end, now_);
                runAuthority(back, group);
            });
        });
    }

    static AppendResult execute(Partition &partition, const Append &append,
                                const std::string &producer,
                                const std::pair<std::size_t, std::uint64_t> &sender)
    {
        if (const auto known = partition.appended_.find(producer);
            known != partition.appended_.end())
            return Appended{known->second};
        if (append.expectedEnd_ != partition.end_)
            return EndMoved{partition.end_};
        partition.last_ = sender;
        partition.appended_[producer] = ++partition.end_;
        return Appended{partition.end_};
    }

    void onAppendResult(std::size_t index, std::uint32_t group, const Append &append,
                        const AppendResult &result)
    {
        auto &daemon = daemons_[index];
        auto &authority = daemon.authorities_[group];
        authority.onResult(append, result, now_);
        const auto tenure = authority.tenure(now_);
        if (std::holds_alternative<EndMoved>(result))
            daemon.allotters_[group].setTenure({}, now_);
        if (!tenure)
            return;
        if (std::holds_alternative<Appended>(result))
            announce(index, group, tenure->end_);
        daemon.allotters_[group].setTenure(*tenure, now_);
        if (auto &handOver = daemon.handOvers_[group];
            handOver && handOver->end_ + 1 == tenure->fence_) {
            daemon.allotters_[group].restore(handOver->customers_, now_);
            handOver.reset();
        }
    }

    /** Tells the first candidates where the partition ends. */
    void announce(std::size_t index, std::uint32_t group, std::uint64_t end)
    {
        const auto listeners = candidates(group);
        for (std::size_t i = 0; i < std::min<std::size_t>(3, listeners.size()); ++i) {
            const auto listener = ids_.at(listeners[i]);
            if (listener == index)
                continue;
            send(index, listener, 0, [=, this](std::size_t at) {
                daemons_[at].authorities_[group].onEndHeard(end, now_);
            });
        }
    }

    void settle(std::size_t index)
    {
        auto &daemon = daemons_[index];
        std::erase_if(daemon.held_, [&](const HeldRequest &held) {
            const auto verdict = now_ >= held.deadline_
                                         ? daemon.wallet_->giveUp(held.customer_, now_)
                                         : daemon.wallet_->retry(held.customer_, now_);
            record(index, held.customer_, verdict);
            return !std::holds_alternative<Held>(verdict);
        });
    }

    void record(std::size_t index, const std::string &customer, const Verdict &verdict)
    {
        auto &result = results_[customer];
        std::visit(base::Overloaded{
                           [&](const Admitted &) {
                               if (refundAfter_ > base::Millis()) {
                                   schedule(now_ + refundAfter_,
                                            [=, this, takenAt = now_,
                                             generation = daemons_[index].generation_] {
                                                deliver(index, generation,
                                                        [=, this](std::size_t at) {
                                                            daemons_[at].wallet_->refund(
                                                                    customer, takenAt, now_);
                                                        });
                                            });
                                   return;
                               }
                               result.admitted_.push_back(now_);
                               ++result.admittedAt_[index];
                           },
                           [](const Held &) {},
                           [&](const Refused &refused) {
                               ++(refused.reason_ == RefusalReason::Spent ? result.spent_
                                                                          : result.unknown_);
                           },
                   },
                   verdict);
    }

    Settings settings_;
    Network network_;
    base::Random random_;
    std::vector<model::Customer> customers_;
    std::map<std::string, std::size_t> ids_;
    std::vector<Daemon> daemons_;
    std::array<Partition, groupCount> partitions_;
    std::priority_queue<Event> events_;
    std::map<std::string, Result> results_;
    base::Millis now_;
    base::Millis storeDownUntil_;
    base::Millis refundAfter_;
    std::uint64_t order_ = 0;
    std::uint64_t generations_ = 0;
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t storeCalls_ = 0;
};

} // namespace allowance::tests

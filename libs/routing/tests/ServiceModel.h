#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include <balance/HandBack.h>
#include <balance/HoldingTime.h>
#include <base/Random.h>
#include <routing/Core.h>

namespace routing::tests {

/** One service, the daemons that choose among its servers, and the demand. Times in ms. */
struct ServiceScenario
{
    int daemons_ = 16;
    int servers_ = 10;
    int slots_ = 20;
    double load_ = 0.85; ///< of the capacity
    bool evenLoad_ = true;
    int dataCentres_ = 1;
    double localDemand_ = 0.0; ///< additional share of the demand in the first data centre
    double workMs_ = 100.0;
    double seconds_ = 8.0;
    std::function<double(int server)> speed_ = [](int) {
        return 1.0;
    };
    std::function<double(double ms)> demand_ = [](double) {
        return 1.0;
    };
    std::function<bool(int server, double ms)> isPresent_ = [](int, double) {
        return true;
    };
};

/** What callers and servers saw after the first quarter of the run. */
struct ServiceResult
{
    double waitP99Ms_ = 0.0;        ///< from arrival to start
    double centralWaitP99Ms_ = 0.0; ///< with one queue and the same servers and requests
    double leastBusy_ = 1.0;        ///< lowest share of slots in use of any server
    double refused_ = 0.0;
    double handedBack_ = 0.0; ///< for each call
    double reportAgeMs_ = 0.0;
    double remote_ = 0.0; ///< share of the calls sent to another data centre
};

/** Plays a scenario on routing cores and queues of servers, in virtual time. */
class ServiceModel
{
public:
    explicit ServiceModel(const ServiceScenario &scenario)
        : scenario_(scenario)
    {
        for (int i = 0; i < scenario_.servers_; ++i)
            servers_.push_back({.speed_ = scenario_.speed_(i)});
        for (int i = 0; i < scenario_.daemons_; ++i)
            cores_.push_back(
                    std::make_unique<Core>(Options{.daemonId_ = "d" + std::to_string(i),
                                                   .dataCentre_ = dataCentreOf(i),
                                                   .region_ = "r",
                                                   .seed_ = static_cast<std::uint64_t>(i) + 1,
                                                   .evenLoad_ = scenario_.evenLoad_}));
    }

    ServiceResult run()
    {
        at(0.0, [this] { announceMembers(); });
        at(1.0, [this] { arrive(); });
        const double end = scenario_.seconds_ * 1000.0;
        while (!events_.empty() && events_.top().timeMs_ < end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.timeMs_;
            event.action_();
        }
        return result();
    }

private:
    struct Call
    {
        int daemon_ = 0;
        double arrivedMs_ = 0.0;
        double work_ = 0.0;
        std::uint32_t handBacks_ = 0;
        std::uint32_t refusals_ = 0;
        std::vector<std::string> tried_;
    };

    struct Server
    {
        double speed_ = 1.0;
        int running_ = 0;
        int centralRunning_ = 0;
        std::deque<std::pair<Call, bool>> queue_;
        balance::HoldingTime holding_;
        double busyMs_ = 0.0;
        double changedMs_ = 0.0;
    };

    struct Event
    {
        double timeMs_;
        std::uint64_t sequence_;
        std::function<void()> action_;
        bool operator<(const Event &other) const
        {
            return std::tie(timeMs_, sequence_) > std::tie(other.timeMs_, other.sequence_);
        }
    };

    std::string dataCentreOf(int index) const
    {
        return std::string(1, static_cast<char>('a' + index % scenario_.dataCentres_));
    }
    bool isMeasured() const { return now_ > scenario_.seconds_ * 250.0; }
    base::Millis now() const { return base::Millis::fromMicros(std::llround(now_ * 1000.0) + 1); }
    double delayMs(int daemon, int server) const
    {
        return dataCentreOf(daemon) == dataCentreOf(server) ? 0.5 : 1.4;
    }
    double exponential(double mean) { return -mean * std::log(1.0 - random_.unit()); }
    void at(double timeMs, std::function<void()> action)
    {
        events_.push({timeMs, ++sequence_, std::move(action)});
    }

    // The speed of a machine changes ten times a second around its mean.
    double serviceMs(int server, double work) const
    {
        const auto interval = static_cast<std::uint64_t>(now_ / 100.0);
        base::Random noise(interval * 1000 + static_cast<std::uint64_t>(server));
        return work / (servers_[server].speed_ * (0.8 + 0.4 * noise.unit()));
    }

    void announceMembers()
    {
        std::vector<model::Member> members;
        for (int i = 0; i < scenario_.servers_; ++i) {
            if (scenario_.isPresent_(i, now_))
                members.push_back({.id_ = "s" + std::to_string(i),
                                   .generation_ = 1,
                                   .region_ = "r",
                                   .dataCentre_ = dataCentreOf(i),
                                   .service_ = "wallet",
                                   .slots_ = static_cast<std::uint32_t>(scenario_.slots_),
                                   .serving_ = model::ServingState::Ready});
        }
        for (auto &core : cores_)
            core->handle(MembersChanged{members}, now());
        at(now_ + 200.0, [this] { announceMembers(); });
    }

    void arrive()
    {
        double capacity = 0.0;
        for (int i = 0; i < scenario_.servers_; ++i) {
            if (scenario_.isPresent_(i, now_))
                capacity += servers_[i].speed_ * scenario_.slots_ / scenario_.workMs_;
        }
        const double rate = capacity * scenario_.load_ * scenario_.demand_(now_);
        at(now_ + exponential(1.0 / rate), [this] { arrive(); });
        auto daemon = static_cast<int>(random_.below(scenario_.daemons_));
        if (random_.unit() < scenario_.localDemand_)
            daemon -= daemon % scenario_.dataCentres_;
        const Call call{
                .daemon_ = daemon, .arrivedMs_ = now_, .work_ = exponential(scenario_.workMs_)};
        at(now_ + 0.5, [this, call] { arriveAtCentralQueue(call); });
        send(call);
    }

    void arriveAtCentralQueue(const Call &call)
    {
        // Bounded as the queues of the servers together are.
        if (centralQueue_.size() < static_cast<std::size_t>(scenario_.slots_ * scenario_.servers_))
            centralQueue_.push_back(call);
        startFromCentralQueue();
    }

    void startFromCentralQueue()
    {
        int fastest = -1;
        for (int i = 0; i < scenario_.servers_; ++i) {
            const bool isFree =
                    scenario_.isPresent_(i, now_) && servers_[i].centralRunning_ < scenario_.slots_;
            if (isFree && (fastest < 0 || servers_[i].speed_ > servers_[fastest].speed_))
                fastest = i;
        }
        if (fastest < 0 || centralQueue_.empty())
            return;
        const Call call = centralQueue_.front();
        centralQueue_.pop_front();
        if (isMeasured())
            centralWaits_.push_back(now_ - call.arrivedMs_);
        ++servers_[fastest].centralRunning_;
        at(now_ + serviceMs(fastest, call.work_), [this, fastest] {
            --servers_[fastest].centralRunning_;
            startFromCentralQueue();
        });
    }

    void send(Call call)
    {
        Core &core = *cores_[call.daemon_];
        auto choice = core.choose("wallet", {}, call.tried_, now());
        if (!choice || call.handBacks_ >= balance::maxHandBacks)
            choice = core.choose("wallet", {}, {}, now());
        if (!choice) {
            refused_ += isMeasured() ? 1.0 : 0.0;
            return;
        }
        const std::string id = choice->member_->id_;
        core.handle(CallSent{id, {}}, now());
        call.tried_.push_back(id);
        auto maxWait = choice->maxWait_;
        if (call.handBacks_ >= balance::maxHandBacks)
            maxWait.reset();
        const int server = std::stoi(id.substr(1));
        if (isMeasured()) {
            ++sent_;
            remote_ += choice->isSpilled_ ? 1.0 : 0.0;
        }
        at(now_ + delayMs(call.daemon_, server),
           [this, call, server, maxWait] { arriveAtServer(call, server, maxWait); });
    }

    balance::LoadReport report(int index) const
    {
        const Server &server = servers_[index];
        return {static_cast<std::uint32_t>(server.running_ + server.queue_.size()),
                static_cast<std::uint32_t>(scenario_.slots_), server.holding_.mean()};
    }

    void arriveAtServer(const Call &call, int index, std::optional<base::Millis> maxWait)
    {
        Server &server = servers_[index];
        const auto ahead = static_cast<std::uint32_t>(server.queue_.size());
        if (balance::isHandedBack(report(index), ahead, maxWait)) {
            handedBack_ += isMeasured() ? 1.0 : 0.0;
            answer(call, index, AnswerKind::Refused);
            return;
        }
        if (ahead >= static_cast<std::uint32_t>(scenario_.slots_)) {
            answer(call, index, AnswerKind::Shed);
            return;
        }
        server.queue_.push_back({call, true});
        startAtServer(index);
    }

    void startAtServer(int index)
    {
        Server &server = servers_[index];
        while (server.running_ < scenario_.slots_ && !server.queue_.empty()) {
            const Call call = server.queue_.front().first;
            server.queue_.pop_front();
            if (isMeasured())
                waits_.push_back(now_ - call.arrivedMs_);
            changeRunning(server, 1);
            const double time = serviceMs(index, call.work_);
            at(now_ + time, [this, index, call, time] {
                changeRunning(servers_[index], -1);
                servers_[index].holding_.recordCompletion(
                        base::Millis::fromMicros(std::llround(time * 1000.0)));
                startAtServer(index);
                answer(call, index, AnswerKind::Complete);
            });
        }
    }

    void changeRunning(Server &server, int change)
    {
        if (isMeasured())
            server.busyMs_ += server.running_
                              * (now_ - std::max(server.changedMs_, scenario_.seconds_ * 250.0));
        server.changedMs_ = now_;
        server.running_ += change;
    }

    void answer(Call call, int index, AnswerKind kind)
    {
        CallAnswered event{.instance_ = "s" + std::to_string(index),
                           .kind_ = kind,
                           .level_ = admission::Level::all(),
                           .isHandedBack_ = kind == AnswerKind::Refused,
                           .generation_ = 1};
        if (scenario_.evenLoad_)
            event.load_ = balance::LoadReport::parse(report(index).toString());
        at(now_ + delayMs(call.daemon_, index), [this, call, event]() mutable {
            cores_[call.daemon_]->handle(event, now());
            call.handBacks_ += event.isHandedBack_ ? 1 : 0;
            if (event.kind_ == AnswerKind::Complete)
                return;
            // As in the product, a refused call is tried once more.
            const bool isRefused = !event.isHandedBack_;
            if (isRefused && call.refusals_++ > 0)
                refused_ += isMeasured() ? 1.0 : 0.0;
            else
                send(call);
        });
    }

    static double p99(std::vector<double> &values)
    {
        if (values.empty())
            return 0.0;
        const auto position =
                values.begin() + static_cast<std::ptrdiff_t>(values.size() * 99 / 100);
        std::nth_element(values.begin(), position, values.end());
        return *position;
    }

    ServiceResult result()
    {
        ServiceResult result{.waitP99Ms_ = p99(waits_), .centralWaitP99Ms_ = p99(centralWaits_)};
        for (auto &server : servers_) {
            changeRunning(server, 0);
            result.leastBusy_ =
                    std::min(result.leastBusy_,
                             server.busyMs_ / (scenario_.seconds_ * 750.0) / scenario_.slots_);
        }
        result.refused_ = refused_ / std::max(1.0, refused_ + static_cast<double>(waits_.size()));
        result.handedBack_ = handedBack_ / std::max(1.0, static_cast<double>(waits_.size()));
        result.remote_ = remote_ / std::max(1.0, sent_);
        base::Millis ages;
        std::uint64_t count = 0;
        for (const auto &core : cores_) {
            ages = ages + core->loadCounters().reportAges_;
            count += core->loadCounters().choicesWithReport_;
        }
        result.reportAgeMs_ = count > 0 ? ages.fractional() / static_cast<double>(count) : 0.0;
        return result;
    }

    ServiceScenario scenario_;
    base::Random random_ = base::Random(20260101);
    std::vector<Server> servers_;
    std::vector<std::unique_ptr<Core>> cores_;
    std::priority_queue<Event> events_;
    std::uint64_t sequence_ = 0;
    double now_ = 0.0;
    std::deque<Call> centralQueue_;
    std::vector<double> waits_;
    std::vector<double> centralWaits_;
    double refused_ = 0.0;
    double handedBack_ = 0.0;
    double sent_ = 0.0;
    double remote_ = 0.0;
};

} // namespace routing::tests

#pragma once

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include <Fixture.h>
#include <admission/Core.h>
#include <admission/DownstreamLevels.h>
#include <admission/EntryLevels.h>
#include <base/Random.h>
#include <routing/Core.h>

namespace routing::tests {

/** How the model uses the admission levels on answers. */
enum class LevelUse : std::uint8_t {
    None,     ///< not at all; each instance refuses on its own
    OneLevel, ///< one level per instance that combines its own with those downstream
    AllLevels ///< admission::AnswerLevels
};

/**
 * Discrete-event simulation of a chain of two services. An entry daemon calls "front"; requests of
 * the class "deep" call "back" while they hold their slot, those of the class "flat" do not.
 */
class ChainModel
{
public:
    struct Stream
    {
        std::string requestClass_; ///< "deep" or "flat"
        int rank_ = 0;
        double requestsPerSecond_ = 0.0;
        base::Millis from_;
        base::Millis until_;
        std::string customer_;
    };

    /** Counters of one class, customer and rank in one second. */
    struct Counts
    {
        int arrived_ = 0;
        int completed_ = 0;
        int refused_ = 0;
        int wasted_ = 0; ///< ran in front and were then refused by back
    };

    /** entry and front: data centre "a"; back: one instance in each of backDataCentres. */
    explicit ChainModel(LevelUse use, const std::vector<std::string> &backDataCentres = {"a", "a"})
        : use_(use)
        , entry_(localOptions())
    {
        std::vector<model::Member> backMembers;
        for (const std::string &dataCentre : backDataCentres)
            backMembers.push_back(member("back", backMembers.size(), backSlots, dataCentre));
        std::vector<model::Member> frontMembers;
        for (std::size_t i = 0; i < frontCount; ++i)
            frontMembers.push_back(member("front", i, frontSlots, "a"));
        entry_.handle(MembersChanged{frontMembers}, now_);
        for (const auto &back : backMembers)
            nodes_.emplace(back.id_, std::make_unique<Node>(backSlots));
        for (const auto &front : frontMembers) {
            auto node = std::make_unique<Node>(frontSlots);
            node->routing_.handle(MembersChanged{backMembers}, now_);
            nodes_.emplace(front.id_, std::move(node));
        }
    }

    void add(const Stream &stream)
    {
        schedule(stream.from_, [this, stream] { generateArrivals(stream); });
    }

    void run(base::Millis until)
    {
        tick();
        while (eventQueue_.top().time_ < until) {
            const ScheduledEvent next = eventQueue_.top();
            eventQueue_.pop();
            now_ = next.time_;
            next.action_();
        }
    }

    /** Sum over [fromSecond, untilSecond); name: name of the class, then that of the customer. */
    Counts sum(const std::string &name, int rank, int fromSecond, int untilSecond)
    {
        Counts result;
        for (int second = fromSecond; second < untilSecond; ++second) {
            const Counts &counts = counts_[{name, rank, second}];
            result.arrived_ += counts.arrived_;
            result.completed_ += counts.completed_;
            result.refused_ += counts.refused_;
            result.wasted_ += counts.wasted_;
        }
        return result;
    }

    /** Throughput limit of back in requests per second. */
    static constexpr double capacity = 1000.0;

private:
    static constexpr std::size_t frontCount = 3;
    static constexpr std::uint32_t frontSlots = 60;
    static constexpr std::uint32_t backSlots = 10;
    static constexpr double frontServiceMs = 5.0;
    static constexpr double backServiceMs = 20.0;

    /** Daemon of one instance: its admission control and its routing to back. */
    struct Node
    {
        explicit Node(std::uint32_t slots)
            : routing_(localOptions())
        {
            const std::map<std::string, model::Customer> customers = {
                    {"quiet", {.name_ = "quiet"}}, {"flood", {.name_ = "flood"}}};
            admission_.handle(admission::Configured{slots, customers}, base::Millis(1));
        }

        admission::Core admission_;
        admission::DownstreamLevels levels_;
        Core routing_;
    };

    struct Answer
    {
        bool isRefused_ = false;
        admission::AnswerLevels levels_;
    };

    using AnswerCallback = std::function<void(const Answer &)>;

    /** Processing of one request by one instance. */
    struct Visit
    {
        std::string node_;
        std::string requestClass_;
        std::string customer_;
        admission::Priority priority_;
        base::Millis deadline_;
        base::Millis startedAt_;
        AnswerCallback callback_;
    };

    struct ScheduledEvent
    {
        base::Millis time_;
        std::uint64_t sequence_ = 0;
        std::function<void()> action_;

        bool operator<(const ScheduledEvent &other) const
        {
            return std::tie(other.time_, other.sequence_) < std::tie(time_, sequence_);
        }
    };

    static model::Member member(const std::string &service, std::size_t index, std::uint32_t slots,
                                const std::string &dataCentre)
    {
        auto result = walletInstance(0, dataCentre, slots);
        result.id_ = service + std::to_string(index);
        result.service_ = service;
        return result;
    }

    void schedule(base::Millis time, std::function<void()> action)
    {
        eventQueue_.push({time, nextSequence_++, std::move(action)});
    }

    base::Millis exponential(double meanMs)
    {
        const double sample = -meanMs * std::log(1.0 - random_.unit());
        return base::Millis::fromMicros(1 + static_cast<std::int64_t>(sample * 1000.0));
    }

    void tick()
    {
        for (auto &[id, node] : nodes_)
            apply(*node, node->admission_.handle(admission::Tick{}, now_));
        schedule(now_ + base::Millis(50), [this] { tick(); });
    }

    Counts &countsOf(const std::string &name, int rank)
    {
        return counts_[{name, rank, static_cast<int>(now_.count() / 1000)}];
    }

    template<typename Request>
    static std::string nameOf(const Request &request)
    {
        return request.requestClass_ + request.customer_;
    }

    void generateArrivals(const Stream &stream)
    {
        if (now_ >= stream.until_)
            return;
        startRequest(stream);
        schedule(now_ + exponential(1000.0 / stream.requestsPerSecond_),
                 [this, stream] { generateArrivals(stream); });
    }

    void startRequest(const Stream &stream)
    {
        const admission::Priority priority = {
                .rank_ = stream.rank_,
                .bucket_ = static_cast<int>(random_.below(admission::Priority::bucketCount))};
        ++countsOf(nameOf(stream), stream.rank_).arrived_;
        const auto deadline = now_ + base::Millis(1000);
        const admission::CallScope scope = {"front", stream.requestClass_, stream.customer_};
        const bool isUsed = use_ == LevelUse::AllLevels;
        if (isUsed && !entryLevels_.admits(scope, priority, now_)) {
            ++countsOf(nameOf(stream), stream.rank_).refused_;
            return;
        }
        const auto callback = [this, stream, deadline, scope](const Answer &answer) {
            auto &counts = countsOf(nameOf(stream), stream.rank_);
            entryLevels_.observe(scope, answer.levels_, now_);
            if (answer.isRefused_)
                ++counts.refused_;
            else if (now_ < deadline)
                ++counts.completed_;
        };
        const Visit visit = {.requestClass_ = stream.requestClass_,
                             .customer_ = stream.customer_,
                             .priority_ = priority,
                             .deadline_ = deadline};
        call(entry_, "front", visit,
             isUsed ? entryLevels_.routingPriority(scope, priority, now_) : priority, callback);
    }

    void call(Core &routing, const std::string &service, Visit visit,
              const admission::Priority &routed, const AnswerCallback &callback)
    {
        const auto choice = routing.choose(service, routed, {}, now_);
        if (!choice)
            return callback(
                    {.isRefused_ = true, .levels_ = {.customer_ = admission::Level::none()}});
        const std::string id = choice->member_->id_;
        routing.handle(CallSent{id, routed}, now_);
        visit.node_ = id;
        visit.callback_ = [this, &routing, id, routed, callback](const Answer &answer) {
            routing.handle(CallAnswered{.instance_ = id,
                                        .kind_ = answer.isRefused_ ? AnswerKind::Shed
                                                                   : AnswerKind::Complete,
                                        .priority_ = routed,
                                        .level_ = answer.levels_.instance_},
                           now_);
            callback(answer);
        };
        const auto visitId = nextVisit_++;
        Node &node = *nodes_.at(id);
        const admission::Arrived event = {.id_ = visitId,
                                          .priority_ = visit.priority_,
                                          .customer_ = visit.customer_,
                                          .requestClass_ = visit.requestClass_,
                                          .deadline_ = visit.deadline_};
        visits_.emplace(visitId, std::move(visit));
        apply(node, node.admission_.handle(event, now_));
    }

    void apply(Node &node, const std::vector<admission::Command> &commands)
    {
        for (const auto &command : commands) {
            if (const auto *start = std::get_if<admission::Start>(&command))
                run(node, start->id_);
            else
                answer(node, std::get<admission::Refuse>(command).id_, true);
        }
    }

    void run(Node &node, std::uint64_t id)
    {
        Visit &visit = visits_.at(id);
        visit.startedAt_ = now_;
        const bool isFront = visit.node_.starts_with("front");
        const auto time = exponential(isFront ? frontServiceMs : backServiceMs);
        const bool isDeep = isFront && visit.requestClass_ == "deep";
        schedule(now_ + time, [this, &node, id, isDeep] {
            isDeep ? callBackService(node, id) : finish(node, id, false);
        });
    }

    void callBackService(Node &node, std::uint64_t id)
    {
        const Visit &parent = visits_.at(id);
        Visit child = parent;
        child.priority_ = parent.priority_.forChild();
        call(node.routing_, "back", child, child.priority_,
             [this, &node, id](const Answer &answer) {
                 const Visit &visit = visits_.at(id);
                 const auto serviceLevel = node.routing_.level("back", now_);
                 const auto level = use_ == LevelUse::AllLevels
                                            ? admission::levelOfCallee(answer.levels_, serviceLevel)
                                            : serviceLevel;
                 node.levels_.observe(admission::scopeKey(visit.requestClass_, visit.customer_),
                                      "back", level, now_);
                 if (answer.isRefused_)
                     ++countsOf(nameOf(visit), visit.priority_.rank_).wasted_;
                 finish(node, id, answer.isRefused_);
             });
    }

    void finish(Node &node, std::uint64_t id, bool isRefused)
    {
        const auto time = now_ - visits_.at(id).startedAt_;
        const auto commands =
                node.admission_.handle(admission::Finished{id, admission::Outcome::Ok, time}, now_);
        answer(node, id, isRefused);
        apply(node, commands);
    }

    void answer(Node &node, std::uint64_t id, bool isRefused)
    {
        const Visit visit = visits_.at(id);
        visits_.erase(id);
        Answer result = {.isRefused_ = isRefused};
        const auto key = admission::scopeKey(visit.requestClass_, visit.customer_);
        const auto ownLevel = node.admission_.level();
        if (use_ == LevelUse::OneLevel)
            result.levels_.instance_ = node.levels_.effective(key, ownLevel, now_);
        if (use_ == LevelUse::AllLevels) {
            result.levels_ = {ownLevel, node.admission_.level(visit.customer_),
                              node.levels_.effective(key, admission::Level::all(), now_)};
        }
        visit.callback_(result);
    }

    LevelUse use_;
    base::Random random_ = base::Random(1);
    base::Millis now_ = base::Millis(1);
    Core entry_;
    admission::EntryLevels entryLevels_;
    std::map<std::string, std::unique_ptr<Node>> nodes_;
    std::map<std::uint64_t, Visit> visits_;
    std::uint64_t nextVisit_ = 1;
    std::priority_queue<ScheduledEvent> eventQueue_;
    std::uint64_t nextSequence_ = 0;
    std::map<std::tuple<std::string, int, int>, Counts> counts_;
};

} // namespace routing::tests

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
#include <base/Random.h>
#include <routing/Core.h>

namespace routing::tests {

/** What the levels on answers are used for. */
enum class LevelUse : std::uint8_t {
    None,     ///< nothing; instances refuse by themselves
    OneLevel, ///< one level on answers, own and further down in one, kept for each instance
    TwoLevels ///< the level of the instance, and beside it that of the class further down
};

/**
 * Two services in a row in virtual time: an entry calls "front", whose requests of the class
 * "deep" call "back" while they hold their slot; those of the class "flat" do not.
 */
class ChainModel
{
public:
    struct Stream
    {
        std::string requestClass_; ///< "deep" or "flat"
        int rank_ = 0;
        double perSecond_ = 0.0;
        base::Millis from_;
        base::Millis until_;
    };

    /** Counts of one class and rank in one second. */
    struct Counts
    {
        int arrived_ = 0;
        int completed_ = 0;
        int refused_ = 0;
        int wasted_ = 0; ///< ran in front and was then refused in back
    };

    explicit ChainModel(LevelUse use, std::uint64_t seed = 1)
        : use_(use)
        , random_(seed)
        , entry_(ownOptions())
    {
        std::vector<model::Member> fronts;
        for (int i = 0; i < frontCount; ++i)
            fronts.push_back(member("front", i, frontSlots));
        std::vector<model::Member> backs;
        for (int i = 0; i < backCount; ++i)
            backs.push_back(member("back", i, backSlots));
        entry_.handle(MembersChanged{fronts}, now_);
        for (const auto &front : fronts)
            nodes_.emplace(front.id_, std::make_unique<Node>(frontSlots))
                    .first->second->routing_.handle(MembersChanged{backs}, now_);
        for (const auto &back : backs)
            nodes_.emplace(back.id_, std::make_unique<Node>(backSlots));
    }

    void add(const Stream &stream)
    {
        at(stream.from_, [this, stream] { arrivals(stream); });
    }

    void run(base::Millis until)
    {
        tick();
        while (agenda_.top().at_ < until) {
            const Entry next = agenda_.top();
            agenda_.pop();
            now_ = next.at_;
            next.action_();
        }
    }

    Counts sum(const std::string &requestClass, int rank, int fromSecond, int untilSecond)
    {
        Counts result;
        for (int second = fromSecond; second < untilSecond; ++second) {
            const Counts &counts = counts_[{requestClass, rank, second}];
            result.arrived_ += counts.arrived_;
            result.completed_ += counts.completed_;
            result.refused_ += counts.refused_;
            result.wasted_ += counts.wasted_;
        }
        return result;
    }

    /** Requests per second that back can serve. */
    static constexpr double capacity = 1000.0;

private:
    static constexpr int frontCount = 3;
    static constexpr int backCount = 2;
    static constexpr std::uint32_t frontSlots = 60;
    static constexpr std::uint32_t backSlots = 10;
    static constexpr double frontMillis = 5.0;
    static constexpr double backMillis = 20.0;

    /** Daemon with its admission, and its routing to back. */
    struct Node
    {
        explicit Node(std::uint32_t slots)
            : routing_(ownOptions())
        {
            admission_.handle(admission::Configured{.slots_ = slots}, base::Millis(1));
        }

        admission::Core admission_;
        admission::DownstreamLevels levels_;
        Core routing_;
    };

    /** Levels that ride on an answer. */
    struct Answer
    {
        bool isRefused_ = false;
        admission::Level own_;
        admission::Level further_;
    };

    using Done = std::function<void(const Answer &)>;

    /** One request at one instance. */
    struct Visit
    {
        std::string node_;
        std::string requestClass_;
        admission::Priority priority_;
        base::Millis deadline_;
        base::Millis startedAt_;
        Done done_;
    };

    struct Entry
    {
        base::Millis at_;
        std::uint64_t sequence_ = 0;
        std::function<void()> action_;

        bool operator<(const Entry &other) const
        {
            return std::tie(other.at_, other.sequence_) < std::tie(at_, sequence_);
        }
    };

    static model::Member member(const std::string &service, int index, std::uint32_t slots)
    {
        auto result = walletInstance(index, "a", slots);
        result.id_ = service + std::to_string(index);
        result.service_ = service;
        return result;
    }

    void at(base::Millis time, std::function<void()> action)
    {
        agenda_.push({time, nextSequence_++, std::move(action)});
    }

    base::Millis exponential(double meanMillis)
    {
        const double sample = -meanMillis * std::log(1.0 - random_.unit());
        return base::Millis::fromMicros(1 + static_cast<std::int64_t>(sample * 1000.0));
    }

    void tick()
    {
        for (auto &[id, node] : nodes_)
            apply(*node, node->admission_.handle(admission::Tick{}, now_));
        at(now_ + base::Millis(50), [this] { tick(); });
    }

    Counts &countsOf(const std::string &requestClass, int rank)
    {
        return counts_[{requestClass, rank, static_cast<int>(now_.count() / 1000)}];
    }

    void arrivals(const Stream &stream)
    {
        if (now_ >= stream.until_)
            return;
        root(stream);
        at(now_ + exponential(1000.0 / stream.perSecond_), [this, stream] { arrivals(stream); });
    }

    void root(const Stream &stream)
    {
        const admission::Priority priority
                = {.rank_ = stream.rank_,
                   .bucket_ = static_cast<int>(random_.below(admission::Priority::bucketCount))};
        ++countsOf(stream.requestClass_, stream.rank_).arrived_;
        const auto deadline = now_ + base::Millis(1000);
        const bool isRefused = use_ == LevelUse::TwoLevels
                               && !entryLevels_.admits(stream.requestClass_, priority, now_);
        if (isRefused) {
            ++countsOf(stream.requestClass_, stream.rank_).refused_;
            return;
        }
        call(entry_, "front",
             {.requestClass_ = stream.requestClass_, .priority_ = priority, .deadline_ = deadline},
             [this, stream, deadline](const Answer &answer) {
                 auto &counts = countsOf(stream.requestClass_, stream.rank_);
                 entryLevels_.observe(stream.requestClass_, "front", answer.further_, now_);
                 if (answer.isRefused_)
                     ++counts.refused_;
                 else if (now_ < deadline)
                     ++counts.completed_;
             });
    }

    void call(Core &routing, const std::string &service, Visit visit, Done done)
    {
        const auto choice = routing.choose(service, visit.priority_, {}, now_);
        if (!choice)
            return done({.isRefused_ = true});
        const std::string id = choice->member_->id_;
        const auto priority = visit.priority_;
        routing.handle(Sent{id, priority}, now_);
        visit.node_ = id;
        visit.done_ = [this, &routing, id, priority, done](const Answer &answer) {
            routing.handle(
                    Answered{.instance_ = id,
                             .kind_ = answer.isRefused_ ? AnswerKind::Shed : AnswerKind::Complete,
                             .priority_ = priority,
                             .level_ = answer.own_},
                    now_);
            done(answer);
        };
        const auto visitId = nextVisit_++;
        Node &node = *nodes_.at(id);
        const admission::Arrived event = {.id_ = visitId,
                                          .priority_ = visit.priority_,
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
        const auto time = exponential(isFront ? frontMillis : backMillis);
        const bool isDeep = isFront && visit.requestClass_ == "deep";
        at(now_ + time,
           [this, &node, id, isDeep] { isDeep ? callBack(node, id) : end(node, id, false); });
    }

    void callBack(Node &node, std::uint64_t id)
    {
        const Visit &parent = visits_.at(id);
        call(node.routing_, "back",
             {.requestClass_ = parent.requestClass_,
              .priority_ = parent.priority_.forChild(),
              .deadline_ = parent.deadline_},
             [this, &node, id](const Answer &answer) {
                 const Visit &visit = visits_.at(id);
                 node.levels_.observe(visit.requestClass_, "back",
                                      node.routing_.level("back", now_), now_);
                 if (answer.isRefused_)
                     ++countsOf(visit.requestClass_, visit.priority_.rank_).wasted_;
                 end(node, id, answer.isRefused_);
             });
    }

    void end(Node &node, std::uint64_t id, bool isRefused)
    {
        const auto time = now_ - visits_.at(id).startedAt_;
        const auto commands = node.admission_.handle(
                admission::Finished{id, admission::Outcome::Ok, time}, now_);
        answer(node, id, isRefused);
        apply(node, commands);
    }

    void answer(Node &node, std::uint64_t id, bool isRefused)
    {
        const Visit visit = visits_.at(id);
        visits_.erase(id);
        Answer result = {.isRefused_ = isRefused};
        const auto own = node.admission_.level();
        if (use_ == LevelUse::OneLevel)
            result.own_ = node.levels_.effective(visit.requestClass_, own, now_);
        if (use_ == LevelUse::TwoLevels) {
            result.own_ = own;
            result.further_
                    = node.levels_.effective(visit.requestClass_, admission::Level::all(), now_);
        }
        visit.done_(result);
    }

    LevelUse use_;
    base::Random random_;
    base::Millis now_ = base::Millis(1);
    Core entry_;
    admission::DownstreamLevels entryLevels_;
    std::map<std::string, std::unique_ptr<Node>> nodes_;
    std::map<std::uint64_t, Visit> visits_;
    std::uint64_t nextVisit_ = 1;
    std::priority_queue<Entry> agenda_;
    std::uint64_t nextSequence_ = 0;
    std::map<std::tuple<std::string, int, int>, Counts> counts_;
};

} // namespace routing::tests

#include <admission/Core.h>

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace admission;
using base::Millis;

namespace {

constexpr std::uint32_t slots = 5;
constexpr double headroom = Options().headroom_;

const std::map<std::string, model::Customer> customers = {
        {"school", {.name_ = "school", .share_ = 3}},
        {"buyer", {.name_ = "buyer", .share_ = 1, .maxConcurrent_ = 2}},
};

/** Sends random events to a core and checks its commands against a reference model. */
class InvariantChecker
{
public:
    InvariantChecker()
        : core_(Options{.queuePerSlot_ = 3})
    {
        handle(Configured{slots, customers});
    }

    void randomEvent()
    {
        now_ = now_ + Millis(*rc::gen::inRange(0, 6));
        switch (*rc::gen::weightedElement<int>({{9, 0}, {3, 1}, {1, 2}, {1, 3}, {1, 4}})) {
        case 0:
            return arrive();
        case 1:
            return finish();
        case 2:
            return cancel();
        case 3:
            return handle(Tick{});
        default:
            return handle(LoadReported{*rc::gen::element(0.0, 1.0, 7.0)});
        }
    }

private:
    void arrive()
    {
        const Arrived event = {
                .id_ = nextId_++,
                .priority_ = {.rank_ = *rc::gen::inRange(0, 4),
                              .inProgress_ = *rc::gen::arbitrary<bool>(),
                              .bucket_ = *rc::gen::inRange(0, Priority::bucketCount)},
                .customer_ = *rc::gen::element<std::string>("school", "buyer", "stranger"),
                .requestClass_ = *rc::gen::element<std::string>("a", "b"),
                .deadline_ = now_ + Millis(*rc::gen::inRange(0, 900))};
        undecided_.emplace(event.id_, event);
        handle(event);
    }

    void finish()
    {
        if (running_.empty())
            return;
        const auto ended =
                std::next(running_.begin(), *rc::gen::inRange<std::size_t>(0, running_.size()));
        const RequestId id = ended->first;
        running_.erase(ended);
        const auto outcome = *rc::gen::weightedElement<Outcome>({{8, Outcome::Ok},
                                                                 {1, Outcome::Shed},
                                                                 {1, Outcome::Failed},
                                                                 {1, Outcome::Cancelled}});
        handle(Finished{id, outcome, Millis(*rc::gen::inRange(1, 60))});
    }

    void cancel()
    {
        const RequestId id = *rc::gen::inRange<RequestId>(0, nextId_ + 1);
        undecided_.erase(id);
        running_.erase(id);
        handle(Cancelled{id});
    }

    void handle(const Event &event)
    {
        const auto commands = core_.handle(event, now_);
        std::vector<Arrived> started;
        std::vector<Arrived> shed;
        for (const Command &command : commands) {
            if (const auto *start = std::get_if<Start>(&command))
                started.push_back(decide(start->id_));
            else if (const auto &refusal = std::get<Refuse>(command);
                     refusal.reason_ == RefusalReason::Overloaded)
                shed.push_back(decide(refusal.id_));
            else
                decide(refusal.id_);
        }
        for (const Arrived &request : started)
            running_.emplace(request.id_, request);
        checkStarted(started);
        checkShed(shed, started);
        checkQueue();
    }

    // Each request is started or refused only once.
    Arrived decide(RequestId id)
    {
        const auto found = undecided_.find(id);
        RC_ASSERT(found != undecided_.end());
        const Arrived result = found->second;
        undecided_.erase(found);
        return result;
    }

    std::size_t runningOf(const std::string &customer) const
    {
        return std::count_if(running_.begin(), running_.end(),
                             [&](const auto &entry) { return entry.second.customer_ == customer; });
    }

    bool isBelowLimit(const Arrived &request) const
    {
        return request.customer_ != "buyer" || runningOf("buyer") < 2;
    }

    void checkStarted(const std::vector<Arrived> &started) const
    {
        RC_ASSERT(core_.limit() <= slots);
        RC_ASSERT(runningOf("buyer") <= 2u);
        if (!started.empty())
            RC_ASSERT(running_.size() <= core_.limit());
        for (const Arrived &request : started) {
            RC_ASSERT(now_ < request.deadline_);
            for (const auto &[id, waiting] : undecided_)
                RC_ASSERT((!isBelowLimit(waiting)
                           || waiting.priority_.rank_ >= request.priority_.rank_));
        }
    }

    void checkShed(const std::vector<Arrived> &shed, const std::vector<Arrived> &started) const
    {
        for (const Arrived &refused : shed) {
            const auto hasWorseRank = [&](const Arrived &other) {
                return other.priority_.rank_ > refused.priority_.rank_;
            };
            RC_ASSERT(std::none_of(started.begin(), started.end(), hasWorseRank));
            for (const auto &[id, waiting] : undecided_)
                RC_ASSERT(!hasWorseRank(waiting));
            RC_ASSERT(!core_.level().admits(
                    {.rank_ = refused.priority_.rank_, .bucket_ = Priority::bucketCount - 1}));
        }
    }

    void checkQueue() const
    {
        RC_ASSERT(core_.queued() == undecided_.size());
        RC_ASSERT(core_.queued() <= 16u);
        RC_ASSERT(core_.running() == running_.size());
        const auto reserved = static_cast<std::size_t>(std::ceil(headroom * core_.limit()));
        for (const auto &[id, waiting] : undecided_) {
            RC_ASSERT(now_ < waiting.deadline_);
            if (isBelowLimit(waiting))
                RC_ASSERT(running_.size() + reserved >= core_.limit());
        }
    }

    Core core_;
    Millis now_ = Millis(1);
    RequestId nextId_ = 1;
    std::map<RequestId, Arrived> undecided_;
    std::map<RequestId, Arrived> running_;
};

} // namespace

RC_GTEST_PROP(AdmissionProperty, invariantsHoldAfterEveryEvent, ())
{
    InvariantChecker checker;
    const int steps = *rc::gen::inRange(1, 400);
    for (int i = 0; i < steps; ++i)
        checker.randomEvent();
}

RC_GTEST_PROP(PriorityProperty, packedNumbersKeepOrder, (std::uint16_t a, std::uint16_t b))
{
    const auto left = Priority::unpack(a % 2560);
    const auto right = Priority::unpack(b % 2560);
    RC_ASSERT(left.packed() == a % 2560);
    RC_ASSERT((left < right) == (left.packed() < right.packed()));
    if (Level::of(right).admits(left))
        RC_ASSERT(left.rank_ <= right.rank_);
}

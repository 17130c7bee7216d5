#include <Fixture.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace routing;
using namespace routing::tests;
using admission::Level;
using admission::Priority;
using base::Millis;

namespace {

constexpr int memberCount = 9;

/** Applies random calls, results and member changes to two cores with the same seed. */
class Checker
{
public:
    Checker()
        : core_(options())
        , replica_(options())
    {
        for (int i = 0; i < memberCount; ++i)
            members_.push_back(walletInstance(i, i < 5 ? "a" : "b"));
        handle(MembersChanged{members_});
    }

    void applyRandomEvent()
    {
        now_ = now_ + Millis(*rc::gen::inRange(0, 300));
        switch (*rc::gen::weightedElement<int>({{8, 0}, {8, 1}, {1, 2}, {1, 3}})) {
        case 0:
            return choose();
        case 1:
            return endCall();
        case 2:
            return changeMember();
        default:
            return handle(InstanceReported{instance(), *rc::gen::arbitrary<bool>(),
                                           *rc::gen::element(0.0, 0.5, 9.0)});
        }
    }

private:
    static Options options()
    {
        Options result = localOptions();
        result.failuresToEject_ = 2;
        return result;
    }

    static std::string instance()
    {
        return "w" + std::to_string(*rc::gen::inRange(0, memberCount));
    }

    static Priority priority()
    {
        return {.rank_ = *rc::gen::inRange(0, 10),
                .inProgress_ = *rc::gen::arbitrary<bool>(),
                .bucket_ = *rc::gen::inRange(0, Priority::bucketCount)};
    }

    void handle(const Event &event)
    {
        const auto before = ejectedByDataCentre();
        core_.handle(event, now_);
        replica_.handle(event, now_);
        if (std::holds_alternative<CallFailed>(event))
            checkEjections(before);
    }

    void choose()
    {
        const Priority requested = priority();
        const std::vector<std::string> excluded(*rc::gen::inRange(0, 3), instance());
        const auto choice = core_.choose("wallet", requested, excluded, now_);
        const auto replicaChoice = replica_.choose("wallet", requested, excluded, now_);
        RC_ASSERT(choice.has_value() == replicaChoice.has_value());
        RC_ASSERT((!choice || choice->member_->id_ == replicaChoice->member_->id_));
        if (!choice)
            return checkRefusal(choice.error(), requested, excluded);
        const std::string &id = choice->member_->id_;
        RC_ASSERT(std::find(excluded.begin(), excluded.end(), id) == excluded.end());
        RC_ASSERT(statusOf(id).isDraining_ == false);
        RC_ASSERT(statusOf(id).level_.admits(requested));
        handle(CallSent{id, requested});
        callsInFlight_.emplace_back(id, requested);
    }

    // A request is refused only if every instance is excluded, draining or sheds its priority.
    void checkRefusal(const NoChoice &refusal, const Priority &requested,
                      const std::vector<std::string> &excluded) const
    {
        bool isShed = false;
        for (const InstanceStatus &status : core_.instances("wallet", now_)) {
            if (std::find(excluded.begin(), excluded.end(), status.id_) != excluded.end())
                continue;
            RC_ASSERT((status.isDraining_ || !status.level_.admits(requested)));
            isShed = isShed || !status.isDraining_;
        }
        RC_ASSERT((refusal.reason_ == NoChoiceReason::AllShed) == isShed);
        RC_ASSERT(refusal.retryAfter_ > Millis(0));
    }

    void endCall()
    {
        if (callsInFlight_.empty())
            return;
        const auto ended =
                callsInFlight_.begin() + *rc::gen::inRange<std::size_t>(0, callsInFlight_.size());
        const auto [id, sentPriority] = *ended;
        callsInFlight_.erase(ended);
        if (*rc::gen::arbitrary<bool>()) {
            const auto kind = *rc::gen::element(FailureKind::NotSent, FailureKind::Lost,
                                                FailureKind::TimedOut, FailureKind::Cancelled);
            return handle(CallFailed{id, kind});
        }
        const auto kind = *rc::gen::element(AnswerKind::Complete, AnswerKind::Shed,
                                            AnswerKind::Refused, AnswerKind::Unknown);
        const bool isLeaving = *rc::gen::weightedElement<bool>({{15, false}, {1, true}});
        handle(CallAnswered{id, kind, sentPriority,
                            Level::fromNumber(*rc::gen::inRange(-1, Level::highest + 1)),
                            isLeaving});
    }

    void changeMember()
    {
        model::Member &member = members_[*rc::gen::inRange(0, memberCount)];
        member.serving_ =
                *rc::gen::element(model::ServingState::Ready, model::ServingState::Ready,
                                  model::ServingState::Draining, model::ServingState::Absent);
        member.generation_ += *rc::gen::inRange(0, 2);
        handle(MembersChanged{members_});
    }

    InstanceStatus statusOf(const std::string &id) const
    {
        for (const InstanceStatus &status : core_.instances("wallet", now_)) {
            if (status.id_ == id)
                return status;
        }
        RC_FAIL("chosen instance is not in the pool");
    }

    std::map<std::string, std::pair<int, int>> ejectedByDataCentre() const
    {
        std::map<std::string, std::pair<int, int>> result;
        for (const InstanceStatus &status : core_.instances("wallet", now_)) {
            auto &[ejected, all] = result[status.dataCentre_];
            ejected += status.isEjected_ ? 1 : 0;
            ++all;
        }
        return result;
    }

    // A failure ejects at most half of the instances of a data centre.
    void checkEjections(const std::map<std::string, std::pair<int, int>> &before) const
    {
        for (const auto &[dataCentre, counts] : ejectedByDataCentre()) {
            const auto &[ejected, all] = counts;
            RC_ASSERT(ejected <= std::max(before.at(dataCentre).first, all / 2));
        }
    }

    Core core_;
    Core replica_;
    Millis now_ = Millis(1);
    std::vector<model::Member> members_;
    std::vector<std::pair<std::string, Priority>> callsInFlight_;
};

} // namespace

RC_GTEST_PROP(RoutingProperty, invariantsHoldAfterEveryEvent, ())
{
    Checker checker;
    const int eventCount = *rc::gen::inRange(1, 300);
    for (int i = 0; i < eventCount; ++i)
        checker.applyRandomEvent();
}

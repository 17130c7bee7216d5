#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <admission/Core.h>
#include <admission/DownstreamLevels.h>
#include <balance/HoldingTime.h>
#include <balance/LoadReport.h>
#include <balance/SlotUse.h>
#include <dock/CallInterface.h>
#include <dock/Executor.h>
#include <drain/UsualTimes.h>
#include <net/HttpClient.h>
#include <net/Reactor.h>
#include <once/Executor.h>
#include <retry/ArrivalBudget.h>
#include <retry/CallingClasses.h>
#include <settings/Settings.h>

#include "details/BackendLog.h"

namespace retry {
class ContextTable;
}

namespace dock {

/** Less than 10 s, the shortest time after which users' backend servers close idle connections. */
inline constexpr base::Millis maxBackendIdle(8000);

/** State and internal operations of an executor. */
struct Executor::Impl
{
    using RunId = admission::RequestId;

    /** A queued or running request. */
    struct Run
    {
        Attempt attempt_;
        base::Millis deadline_;
        base::Millis arrivedAt_;
        base::Millis startedAt_; ///< 0 while queued
        std::string context_;    ///< token of the call
        std::string requestId_;  ///< empty if the interface has none
        net::CallId call_ = 0;
        AttemptId waiter_ = 0; ///< set for an idempotent request
    };

    /** An attempt in progress. */
    struct Waiter
    {
        AnswerFunction answer_;
        std::string requestClass_;
        std::string customer_;
        RunId run_ = 0; ///< set for an idempotent request
        std::optional<once::SubKey> subKey_;
        bool isRoot_ = false;
    };

    Impl(net::Reactor &reactor, const settings::Settings &settings, once::Incarnation self,
         retry::ContextTable &contexts, net::ByteBudget &budget, const CallInterface &interface)
        : reactor_(reactor)
        , settings_(settings)
        , contexts_(contexts)
        , interface_(interface)
        , client_(reactor, {.maxBodyBytes_ = settings.maxBodyBytes_,
                            .maxIdle_ = maxBackendIdle,
                            .echoedField_ = interface.requestIdField_,
                            .budget_ = &budget})
        , arrivalBudget_(makeArrivalBudget(settings))
    {
        createRecord(std::move(self));
    }

    bool isServing() const { return backend_.serving_ == model::ServingState::Ready; }
    bool isBaseline() const { return settings_.mode_ == settings::Mode::Baseline; }
    static std::optional<retry::ArrivalBudget>
    makeArrivalBudget(const settings::Settings &settings);
    std::optional<once::NotRun> refusalOf(const Attempt &attempt);
    bool isHandedBack(const Attempt &attempt) const;
    balance::LoadReport loadReport() const;
    std::uint32_t freeSlots() const;
    void logSlotUse(base::Millis now);
    std::uint32_t admissionSlots() const;
    admission::Level repeatLevel(const std::string &scope, bool isRoot) const;
    RunId findRun(const once::SubKey &subKey) const;
    std::optional<std::string> scopeOf(std::string_view contextToken) const;

    void createRecord(once::Incarnation self);
    void scheduleTick();
    void tick();
    void applyBackend(BackendServer backend);
    void configureAdmission();
    std::optional<RunId> createRun(Attempt attempt, base::Millis deadline);
    void removeRun(RunId id);
    void requestAdmission(RunId id);
    void start(RunId id);
    void refuse(RunId id, const once::NotRun &why);
    void send(RunId id, base::Millis timeLeft);
    void backendDone(RunId id, net::CallResult result);
    void measure(const Run &run, const net::CallResult &result);
    void recordCalls(const Run &run, bool isServed);
    retry::RepeatKind repeatKindOf(const Attempt &attempt) const;
    void finish(RunId id, admission::Outcome admissionOutcome, const once::Outcome &outcome);
    void reportToRecord(const once::SubKey &subKey, const once::Outcome &outcome);
    void reply(AttemptId waiter, const once::Outcome &outcome, bool isReplaced = false);
    void admit(const once::Admit &order);
    void abandon(RunId id);
    void returnQueue();
    void backendLeaves();
    void perform(const std::vector<admission::Command> &commands);
    void perform(const std::vector<once::ExecutorCommand> &commands);

    net::Reactor &reactor_;
    const settings::Settings &settings_;
    retry::ContextTable &contexts_;
    const CallInterface &interface_;
    net::HttpClient client_;
    retry::CallingClasses callingClasses_;
    std::optional<retry::ArrivalBudget> arrivalBudget_; ///< unset: the entries limit retries
    admission::Core admission_;
    admission::DownstreamLevels levels_;
    admission::DownstreamLevels repeatLevels_;
    balance::HoldingTime holdingTime_;
    balance::SlotUse slotUse_;
    base::Millis slotUseLoggedAt_;
    std::optional<once::Executor> once_;
    BackendChanged onBackendChanged_;
    ContextFunction onContextEnded_;
    ContextFunction onContextCancelled_;
    details::BackendLog backendLog_;
    BackendServer backend_;
    base::Millis lastAnnounced_;
    std::map<std::string, model::Customer> customers_;
    drain::UsualTimes usualTimes_;
    drain::AcceptFunction accepts_; ///< set while draining
    bool isDraining_ = false;

    std::unordered_map<RunId, Run> runs_;
    std::unordered_map<std::string, RunId> runBySubKey_;
    std::unordered_map<std::string, RunId> runByContext_;
    std::unordered_map<std::string, RunId> runByRequestId_; ///< by request id, if in use
    std::unordered_map<AttemptId, Waiter> waiters_;
    base::Millis queueing_;            ///< of the run that ended last; reset by the next reply
    std::uint32_t budgetLeft_ = 0;     ///< of the run that ended last; reset by the next reply
    std::uint32_t completedCalls_ = 0; ///< by the run that ended last; reset by the next reply
    std::optional<Attempt> delegatedAttempt_; ///< while the once-only record handles it
    RunId nextRun_ = 1;
    AttemptId nextWaiter_ = 1;
    net::TimerId timer_ = 0;
    net::TimerId leavingTimer_ = 0; ///< set once the backend server has said that it leaves
    base::Millis tickDue_;
};

} // namespace dock

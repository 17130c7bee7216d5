#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include <allowance/Verdict.h>
#include <dock/AttemptSender.h>
#include <dock/CallInterface.h>
#include <dock/CallerAnswer.h>
#include <dock/Entry.h>
#include <dock/IdempotentCalls.h>
#include <dock/InstanceSelector.h>
#include <dock/KeyedCalls.h>
#include <dock/Recorder.h>
#include <drain/UsualTimes.h>
#include <net/HttpClient.h>
#include <net/Reactor.h>
#include <once/Home.h>
#include <retry/Core.h>
#include <routing/Core.h>
#include <settings/Settings.h>

#include "details/Allowances.h"
#include "details/DenialLog.h"
#include "details/FailureLog.h"
#include "details/RedelegationLog.h"
#include "details/RequestKeys.h"
#include "details/RequestReader.h"

namespace dock {

/** Short, as another daemon can serve the request at once. */
inline constexpr base::Millis retryAfterClosed(200);

/** State and internal operations of an entry. */
struct Entry::Impl
{
    Impl(net::Reactor &reactor, const settings::Settings &settings, once::Incarnation self,
         net::PeerClient &client, Executor &executor, retry::ContextTable &contexts,
         const CallInterface &interface, details::Allowances &allowances);
    ~Impl();

    /** A request that an idempotent call serves. */
    struct IdempotentWork
    {
        retry::CallId call_ = 0;
    };

    /** A request that waits for a record of the home. */
    struct KeyedWork
    {
        once::WaiterId waiter_ = 0;
    };

    /** A request forwarded to the home of its key. */
    struct ForwardedWork
    {
        net::CallId call_ = 0;
    };

    /** A request that waits for a token of its customer's allowance. */
    struct HeldWork
    {
        EntryId id_ = 0; ///< in heldCalls_
    };

    using Work = std::variant<std::monostate, IdempotentWork, KeyedWork, ForwardedWork, HeldWork>;

    struct HeldCall
    {
        CallInfo call_;
        net::TimerId timer_ = 0; ///< ends the wait
    };

    /** A request in progress. */
    struct OpenRequest
    {
        Respond respond_;
        CallInfo call_; ///< without header fields and body
        Work work_;
        std::optional<base::Millis> tokenTakenAt_; ///< of its customer's allowance, elapsed time
    };

    static once::HomeSettings homeSettings(const settings::Settings &settings);
    static retry::RetrySettings retrySettings(const settings::Settings &settings,
                                              const CallInterface &interface);
    static retry::RetrySettings retrySettingsOfKeyed(const settings::Settings &settings,
                                                     const CallInterface &interface);
    net::HttpResponse drainingRefusal() const;
    bool isBaseline() const { return settings_.mode_ == settings::Mode::Baseline; }
    bool needsKey(const CallInfo &call) const;
    bool mayAccept(const CallInfo &call) const;
    void refuseAsDraining(EntryId id, const CallInfo &call);
    void refuseWithoutDestination(EntryId id, const net::HttpRequest &request);
    void deny(EntryId id, const CallInfo &call);
    const model::Member *findMember(const std::string &id) const;
    std::string issueNextKey(const CallInfo &call);
    const model::Allowance *allowanceOf(const CallInfo &call, RequestSource source);
    void startWithin(const model::Allowance &allowance, EntryId id, CallInfo call);
    void hold(EntryId id, CallInfo call);
    void decideHeld();
    void endHold(EntryId id);
    void startHeld(EntryId id, bool hasToken);
    void refuseHeld(const once::NotRun &why);
    void refuse(EntryId id, const allowance::Refused &refused);
    void start(EntryId id, CallInfo call, RequestSource source);
    void startIdempotent(EntryId id, CallInfo call);
    void startKeyed(EntryId id, CallInfo call, RequestSource source);
    void startWithRequestId(EntryId id, CallInfo call);
    void finishUnserved(EntryId id, const net::HttpRequest &request, net::HttpResponse refused);
    void startAtHome(EntryId id, CallInfo call,
                     const std::variant<once::Key, once::ContextKey> &key);
    void forward(EntryId id, const CallInfo &call, const once::Key &key);
    void setWork(EntryId id, Work work);
    void cancelWork(const Work &work);
    once::Outcome abandon(const Work &work);
    std::string executorOf(const Work &work) const;
    void finish(EntryId id, net::HttpResponse response);
    void forwarded(EntryId id, net::CallResult result);
    void recordForRepeats(const CallInfo &call, const once::Outcome &outcome,
                          std::uint32_t completedCalls, base::Millis now);
    void finishWithOutcome(EntryId id, const once::Outcome &outcome, const CallReport &report = {});

    net::Reactor &reactor_;
    const settings::Settings &settings_;
    const CallInterface &interface_;
    details::Allowances &allowances_;
    const AnswerFormat answerFormat_;
    once::Incarnation self_;
    net::PeerClient &client_;
    Executor &executor_;
    retry::ContextTable &contexts_;
    routing::Core routing_;
    std::optional<once::Home> home_;
    retry::Core retryIdempotent_;
    retry::Core retryKeyed_;
    Recorder recorder_;
    AttemptSender sender_;
    InstanceSelector selector_;
    IdempotentCalls idempotentCalls_;
    KeyedCalls keyedCalls_;
    details::RequestKeys requestKeys_;
    details::RequestReader reader_;
    Members members_;
    std::unordered_map<std::string, const model::Member *> memberById_;
    std::unordered_map<EntryId, OpenRequest> openRequests_;
    std::map<EntryId, HeldCall> heldCalls_; ///< in order of arrival
    EntryId nextId_ = 1;
    std::uint64_t nextUnnamedCall_ = 1;
    details::FailureLog failureLog_;
    details::DenialLog denialLog_;
    details::RedelegationLog redelegationLog_;
    drain::UsualTimes usualTimes_;
    drain::AcceptFunction accepts_; ///< set while draining
    bool isDraining_ = false;
    bool isRefusingRoots_ = false;
    bool isClosed_ = false;
};

} // namespace dock

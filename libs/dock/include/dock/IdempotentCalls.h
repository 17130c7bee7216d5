#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <dock/AttemptSender.h>
#include <dock/CallInfo.h>
#include <dock/CallReport.h>
#include <dock/InstanceSelector.h>
#include <once/Outcome.h>
#include <retry/Command.h>
#include <retry/Core.h>
#include <retry/Event.h>

namespace net {
class Reactor;
}
namespace dock {

/**
 * Runs idempotent calls: selects instances, sends attempts and retries until there is an outcome.
 *
 * To be used on the data task's thread only; done is never called from inside start().
 */
class IdempotentCalls
{
public:
    using Done = std::function<void(const once::Outcome &, const CallReport &)>;
    using MustRunOnce = std::function<bool(const CallInfo &)>;

    /**
     * All references must outlive this object. With retriesFailures, a request is also sent to
     * another instance if a backend server answers with a server error. mustRunOnce is checked
     * before a request that may have run is sent again, as the configuration may have changed.
     */
    IdempotentCalls(net::Reactor &reactor, retry::Core &retry, InstanceSelector &selector,
                    AttemptSender &sender, MustRunOnce mustRunOnce, bool retriesFailures);
    ~IdempotentCalls();

    /** Starts a call; done is called once, unless the call is cancelled before. */
    retry::CallId start(CallInfo call, Done done);

    /** Cancels a call and its attempt, as the caller has closed the connection. */
    void cancel(retry::CallId id);

    std::size_t activeCount() const { return calls_.size(); }

    /** Whether an attempt is in progress, or one may have run. */
    bool mayHaveRun(retry::CallId id) const;

    /** Id of the instance that the request was last sent to; empty if it is at none. */
    std::string executorOf(retry::CallId id) const;

private:
    struct Call
    {
        CallInfo info_;
        Done done_;
        SendId send_ = 0;
        std::uint32_t attempt_ = 0;
        std::vector<std::string> triedInstances_; ///< instance ids of all attempts so far
        CallReport report_;
        bool mayHaveRun_ = false;
        std::optional<once::Complete> failedAnswer_; ///< answer of the last failed attempt
        once::NotRun lastRefusal_;
    };

    void perform(const std::vector<retry::Command> &commands);
    void startAttempt(const retry::StartAttempt &order);
    void sendAttempt(const retry::StartAttempt &order);
    void attemptDone(retry::CallId id, const std::string &instance, SendResult result);
    void giveUp(retry::CallId id, const Call &call);
    void finish(retry::CallId id, const once::Outcome &outcome);
    once::Outcome failureOutcome(const Call &call) const;
    bool isRetryableFailure(const once::Complete &complete,
                            const admission::AnswerLevels &levels) const;

    net::Reactor &reactor_;
    retry::Core &retry_;
    InstanceSelector &selector_;
    AttemptSender &sender_;
    MustRunOnce mustRunOnce_;
    const bool retriesFailures_;
    std::map<retry::CallId, Call> calls_;
    retry::CallId nextId_ = 1;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

/** Classifies a request that was not run for the retry decision. */
retry::AttemptResult attemptResultOf(const once::NotRun &why);

/** Whether the backend server itself refused the attempt, and so has received it. */
bool isBackendRefusal(const once::NotRun &why);

} // namespace dock

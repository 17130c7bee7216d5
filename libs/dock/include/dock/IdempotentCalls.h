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
 * Calls that may be repeated: routing, attempts and retries until there is an outcome.
 *
 * All members are for the data task's thread; done never runs inside start().
 */
class IdempotentCalls
{
public:
    using Done = std::function<void(const once::Outcome &, const CallReport &)>;
    using MustRunOnce = std::function<bool(const CallInfo &)>;

    /**
     * All that is passed in must outlive this object. With repeatsFailures a request is also sent
     * to another instance when a backend server answers that it failed. Before a request that may
     * have run is sent again, mustRunOnce is asked, as the configuration may have changed.
     */
    IdempotentCalls(net::Reactor &reactor, retry::Core &retry, InstanceSelector &selector,
                    AttemptSender &sender, MustRunOnce mustRunOnce, bool repeatsFailures);
    ~IdempotentCalls();

    /** Starts a call; done is called once, unless the call is cancelled before. */
    retry::CallId start(CallInfo call, Done done);

    /** The caller hung up: ends what runs for it. */
    void cancel(retry::CallId id);

    std::size_t activeCount() const { return calls_.size(); }

private:
    struct Call
    {
        CallInfo info_;
        Done done_;
        SendId send_ = 0;
        std::uint32_t attempt_ = 0;
        std::vector<std::string> tried_; ///< instances that failed
        CallReport report_;
        bool mayHaveRun_ = false;
        std::optional<once::Complete> failure_; ///< whole answer of an attempt that failed
        once::NotRun lastRefusal_;
    };

    void perform(const std::vector<retry::Command> &commands);
    void startAttempt(const retry::StartAttempt &order);
    void sendAttempt(const retry::StartAttempt &order);
    void attemptDone(retry::CallId id, const std::string &instance, SendResult result);
    void giveUp(retry::CallId id, const Call &call);
    void finish(retry::CallId id, const once::Outcome &outcome);
    once::Outcome failureOutcome(const Call &call) const;
    bool isWorthRepeating(const once::Complete &whole, const admission::AnswerLevels &levels) const;

    net::Reactor &reactor_;
    retry::Core &retry_;
    InstanceSelector &selector_;
    AttemptSender &sender_;
    MustRunOnce mustRunOnce_;
    const bool repeatsFailures_;
    std::map<retry::CallId, Call> calls_;
    retry::CallId nextId_ = 1;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

/** How retrying sees an outcome that is not a whole answer. */
retry::AttemptResult attemptResultOf(const once::NotRun &why);

/** Whether the backend server itself refused the attempt, so that it has seen it. */
bool hasReachedBackend(const once::NotRun &why);

} // namespace dock

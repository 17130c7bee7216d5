#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include <dock/AttemptSender.h>
#include <dock/CallInfo.h>
#include <dock/IdempotentCalls.h>
#include <dock/Redelegation.h>
#include <net/Reactor.h>
#include <once/Home.h>
#include <retry/Core.h>

namespace dock {

/**
 * Runs non-idempotent calls at the home of their keys: connects the once-only record with instance
 * selection, retries and sending. To be used on the data task's thread only.
 */
class KeyedCalls
{
public:
    using Done = IdempotentCalls::Done;
    using FindMember = std::function<const model::Member *(const std::string &id)>;
    using RedelegationFunction = std::function<void(const CallInfo &, const Redelegation &)>;

    /** All references must outlive this object. */
    KeyedCalls(net::Reactor &reactor, once::Home &home, retry::Core &retry,
               InstanceSelector &selector, AttemptSender &sender, FindMember findMember,
               RedelegationFunction onRedelegated);
    ~KeyedCalls();

    /** Starts the request of a key whose home is here, or joins the one started before. */
    once::WaiterId start(CallInfo call, const std::variant<once::Key, once::ContextKey> &key,
                         Done done);

    /** Removes a waiter whose caller has closed the connection. */
    void cancel(once::WaiterId id);

    /** Ends a request as notRun if it has not started; it is not started any more then. */
    void withdraw(once::WaiterId id, const once::NotRun &notRun);

    /** Ends all calls as unknown, before the home is replaced by another incarnation's. */
    void abandonAll();

    /** A call running on the backend server ended; keys in its context become invalid. */
    void contextEnded(const std::string &token);

    /** Number of records that may still need an executor. */
    std::size_t activeCount() const { return records_.size(); }

    /** Id of the instance that the request was last sent to; empty if it is at none. */
    std::string executorOf(once::WaiterId id) const;

private:
    struct Waiter
    {
        CallInfo info_;
        Done done_;
        CallReport report_;
    };

    /** The request of a record; kept while another attempt may be needed. */
    struct Record
    {
        CallInfo info_;
        once::WaiterId waiter_ = 0;               ///< waiter whose request created the record
        std::vector<std::string> triedInstances_; ///< instance ids of all attempts so far
        admission::Priority routingPriority_;     ///< priority used to select the executor
        std::optional<base::Millis> maxWait_;     ///< see Attempt::maxWait_
        retry::StartAttempt attempt_;
        std::optional<std::uint32_t> budgetLeft_; ///< from the last answer
        Redelegation redelegation_;               ///< set from the second attempt on
    };

    void dispatch(const once::HomeEvent &event);
    void perform(const std::vector<once::HomeCommand> &commands);
    void perform(const std::vector<retry::Command> &commands);
    void reply(const once::Reply &order);
    void chooseExecutor(const once::ChooseExecutor &order);
    void selectInstance(const retry::StartAttempt &order);
    void delegate(const once::Delegate &order);
    void queryOutcome(const once::QueryOutcome &order);
    void recall(const once::Recall &order);
    void release(const once::Release &order);
    void reportNotSent(const once::SubKey &subKey);
    void delegationDone(const once::Delegate &order, SendResult result);
    void executorAnswered(const once::SubKey &subKey, SendResult result);
    void scheduleWakeUp();

    net::Reactor &reactor_;
    once::Home &home_;
    retry::Core &retry_;
    InstanceSelector &selector_;
    AttemptSender &sender_;
    FindMember findMember_;
    RedelegationFunction onRedelegated_;
    std::unordered_map<once::WaiterId, Waiter> waiters_;
    std::unordered_map<once::RecordId, Record> records_;
    once::WaiterId nextWaiter_ = 1;
    net::TimerId wakeUpTimer_ = 0;
    base::Millis wakeUpAt_ = base::Millis::max();
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace dock

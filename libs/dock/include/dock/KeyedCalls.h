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
 * Calls that run at most once, at the home of their keys: joins the once-only record with routing,
 * retries and sending. All members are for the data task's thread.
 */
class KeyedCalls
{
public:
    using Done = IdempotentCalls::Done;
    using FindMember = std::function<const model::Member *(const std::string &id)>;
    using DelegatedAgain = std::function<void(const CallInfo &, const Redelegation &)>;

    /** All that is passed in must outlive this object. */
    KeyedCalls(net::Reactor &reactor, once::Home &home, retry::Core &retry,
               InstanceSelector &selector, AttemptSender &sender, FindMember findMember,
               DelegatedAgain onDelegatedAgain);
    ~KeyedCalls();

    /** Starts or repeats the request of a key that this daemon is the home of. */
    once::WaiterId start(CallInfo call, const std::variant<once::Key, once::ContextKey> &key,
                         Done done);

    /** The caller hung up. */
    void cancel(once::WaiterId id);

    /** The home is about to be replaced by that of another incarnation: all outcomes are unknown.
     */
    void abandonAll();

    /** A running call of the backend server ended; its own keys are not valid any more. */
    void contextEnded(const std::string &token);

    /** Records that still need an executor. */
    std::size_t activeCount() const { return records_.size(); }

private:
    struct Waiting
    {
        CallInfo info_;
        Done done_;
        CallReport report_;
    };

    /** The request of a record, kept while another attempt may be made. */
    struct Record
    {
        CallInfo info_;
        once::WaiterId waiter_ = 0;      ///< whose request started the record
        std::vector<std::string> tried_; ///< instances that did not run it
        admission::Priority routed_;     ///< by which the executor was chosen
        retry::StartAttempt attempt_;
        std::optional<std::uint32_t> budgetLeft_; ///< as the last answer said
        Redelegation again_;                      ///< from the second attempt on
    };

    void tell(const once::HomeEvent &event);
    void perform(const std::vector<once::HomeCommand> &commands);
    void perform(const std::vector<retry::Command> &commands);
    void reply(const once::Reply &order);
    void chooseExecutor(const once::ChooseExecutor &order);
    void choose(const retry::StartAttempt &order);
    void delegate(const once::Delegate &order);
    void ask(const once::Ask &order);
    void release(const once::Release &order);
    void reportNotSent(const once::SubKey &subKey);
    void delegated(const once::Delegate &order, SendResult result);
    void answered(const once::SubKey &subKey, SendResult result);
    void scheduleWakeUp();

    net::Reactor &reactor_;
    once::Home &home_;
    retry::Core &retry_;
    InstanceSelector &selector_;
    AttemptSender &sender_;
    FindMember findMember_;
    DelegatedAgain onDelegatedAgain_;
    std::unordered_map<once::WaiterId, Waiting> waiting_;
    std::unordered_map<once::RecordId, Record> records_;
    once::WaiterId nextWaiter_ = 1;
    net::TimerId wakeUpTimer_ = 0;
    base::Millis wakeUpAt_ = base::Millis::max();
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace dock

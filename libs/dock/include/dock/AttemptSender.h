#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <base/Millis.h>
#include <dock/Attempt.h>
#include <dock/AttemptAnswer.h>
#include <dock/Executor.h>
#include <dock/InstanceSelector.h>
#include <model/Member.h>
#include <net/Failure.h>
#include <net/HttpClient.h>
#include <tl/expected.hpp>

namespace net {
class PeerClient;
class Reactor;
} // namespace net
namespace routing {
class Core;
}

namespace dock {

/** Id of a sent attempt; 0 for none. */
using SendId = std::uint64_t;

/** The executor's answer to an attempt, or why the call to the executor failed. */
using SendResult = tl::expected<AttemptAnswer, net::FailureKind>;

/**
 * Sends attempts to the executor of an instance, in this process or another, and reports the
 * results to the routing core. To be used on the data task's thread only; done is never called from
 * inside send().
 */
class AttemptSender
{
public:
    using Done = std::function<void(SendResult)>;

    /** All references must outlive the sender. */
    AttemptSender(net::Reactor &reactor, net::PeerClient &client, Executor &local,
                  routing::Core &routing, std::string selfId);
    ~AttemptSender();
    AttemptSender(const AttemptSender &) = delete;
    AttemptSender &operator=(const AttemptSender &) = delete;

    /** Sends an attempt; done is called once, unless it is cancelled before. */
    SendId send(const Selected &to, Attempt attempt, Done done);

    /** Sends a query or recall; not reported to routing, as no backend server is involved. */
    SendId sendControl(const model::Member &to, Attempt attempt, Done done);

    /** Cancels an attempt whose answer is not needed any more. */
    void cancel(SendId id);

private:
    struct Pending
    {
        std::string instance_;
        std::uint64_t generation_ = 0;
        admission::Priority routingPriority_;
        bool isOtherFree_ = false; ///< see routing::Choice
        bool isControl_ = false;
        bool isLocal_ = false;
        AttemptId attempt_ = 0;
        net::CallId call_ = 0;
        Done done_;
    };

    SendId startPending(const model::Member &to, const admission::Priority &routingPriority,
                        bool isControl, Done done);
    void transmit(SendId id, const model::Member &to, Attempt attempt);
    void complete(SendId id, SendResult result);
    void reportToRouting(const Pending &pending, const SendResult &result);

    net::Reactor &reactor_;
    net::PeerClient &client_;
    Executor &localExecutor_;
    routing::Core &routing_;
    std::string selfId_;
    std::map<SendId, Pending> pending_;
    SendId nextId_ = 1;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace dock

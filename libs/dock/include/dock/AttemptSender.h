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

/** Names one attempt that was sent; 0 names none. */
using SendId = std::uint64_t;

/** The executor's word on an attempt, or how the call to it failed. */
using SendResult = tl::expected<AttemptAnswer, net::FailureKind>;

/**
 * Sends attempts to the executor of an instance, in this process or another, and tells routing
 * what came back. All members are for the data task's thread; done never runs inside send().
 */
class AttemptSender
{
public:
    using Done = std::function<void(SendResult)>;

    /** All that is passed in must outlive the sender. */
    AttemptSender(net::Reactor &reactor, net::PeerClient &client, Executor &local,
                  routing::Core &routing, std::string selfId);
    ~AttemptSender();
    AttemptSender(const AttemptSender &) = delete;
    AttemptSender &operator=(const AttemptSender &) = delete;

    /** Sends an attempt; done is called once, unless it is cancelled before. */
    SendId send(const Selected &to, Attempt attempt, Done done);

    /** Asks for an outcome; says nothing to routing, as the backend server has no part in it. */
    SendId ask(const model::Member &to, Attempt attempt, Done done);

    /** Nobody waits for the answer any more. */
    void cancel(SendId id);

private:
    struct Pending
    {
        std::string instance_;
        admission::Priority routed_;
        bool isAsk_ = false;
        bool isLocal_ = false;
        AttemptId attempt_ = 0;
        net::CallId call_ = 0;
        Done done_;
    };

    SendId startPending(const model::Member &to, const admission::Priority &routed, bool isAsk,
                        Done done);
    void transmit(SendId id, const model::Member &to, Attempt attempt);
    void complete(SendId id, SendResult result);
    void tellRouting(const Pending &pending, const SendResult &result);

    net::Reactor &reactor_;
    net::PeerClient &client_;
    Executor &local_;
    routing::Core &routing_;
    std::string selfId_;
    std::map<SendId, Pending> pending_;
    SendId nextId_ = 1;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace dock

#pragma once

#include <functional>
#include <memory>
#include <string>

#include <History.h>
#include <Network.h>
#include <once/Answer.h>

/** Request as received by a backend server. */
struct BackendRequest
{
    std::string name_;    ///< of the logical request
    std::string context_; ///< token for outgoing calls
    std::size_t hop_ = 0;
    std::string customer_;
};

/**
 * Fake backend server: at hop 0 it makes one outgoing call through its daemon, with a key of its
 * own, and retries it under the same key; at hop 1 it only consumes time.
 */
class BackendServer
{
public:
    using CallDaemon = std::function<void(const BackendRequest &parent,
                                          std::function<void(RemoteResult)> done)>;

    BackendServer(Network &network, History &history, ProcessId id, CallDaemon callDaemon)
        : network_(network)
        , history_(history)
        , id_(id)
        , callDaemon_(std::move(callDaemon))
    {}

    void startCold() { coldUntil_ = network_.now() + base::Millis(1'000); }

    void run(const BackendRequest &request, const Respond &respond)
    {
        history_.recordRun(request.name_, request.customer_);
        const bool isCold = network_.now() < coldUntil_;
        const auto time = base::Millis(isCold ? 100 : 10);
        network_.passPoint(Point{Step::Running, request.hop_}, id_, [=, this] {
            network_.inProcess(id_, time, [=, this] {
                if (request.hop_ + 1 < hopCount)
                    callNextHop(request, respond, 1);
                else
                    answer(request, respond, 200);
            });
        });
    }

private:
    static constexpr int maxCalls = 3;

    void callNextHop(const BackendRequest &request, const Respond &respond, int callNumber)
    {
        callDaemon_(request, [=, this](const RemoteResult &result) {
            const auto name = request.name_ + "/debit";
            if (result)
                history_.requests_[name].outcomes_.push_back(result->outcome_);
            if (result && std::holds_alternative<once::Complete>(result->outcome_)) {
                answer(request, respond, 200);
                return;
            }
            if (callNumber == maxCalls) {
                answer(request, respond, 500);
                return;
            }
            network_.inProcess(id_, base::Millis(50),
                               [=, this] { callNextHop(request, respond, callNumber + 1); });
        });
    }

    void answer(const BackendRequest &request, const Respond &respond, int status)
    {
        once::Answer answer;
        answer.status_ = status;
        answer.body_ = request.name_;
        respond(Response{once::Complete{std::make_shared<once::Answer>(std::move(answer))}, false,
                         std::nullopt});
    }

    Network &network_;
    History &history_;
    ProcessId id_;
    CallDaemon callDaemon_;
    base::Millis coldUntil_;
};

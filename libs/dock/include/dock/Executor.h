#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <admission/Level.h>
#include <dock/Attempt.h>
#include <dock/AttemptAnswer.h>
#include <dock/BackendServer.h>
#include <model/Config.h>
#include <once/Incarnation.h>

namespace net {
class ByteBudget;
class Reactor;
} // namespace net
namespace retry {
class ContextTable;
}
namespace settings {
struct Settings;
}

namespace dock {

struct CallInterface;

/** Names one attempt that waits for its answer at this daemon. */
using AttemptId = std::uint64_t;

/**
 * Runs attempts on the backend server beside this daemon: admission, once-only record, call.
 *
 * All members are for the data task's thread; the answer function may run inside accept().
 */
class Executor
{
public:
    using AnswerFunction = std::function<void(AttemptAnswer)>;
    using BackendChanged = std::function<void(const BackendServer &)>;
    using ContextFunction = std::function<void(const std::string &token)>;

    /**
     * The context table holds the calls that run here, the budget pays for the messages to and
     * from the backend server; they and the interface must outlive the executor. A running call
     * that is cancelled is told of as cancelled first, then as ended.
     */
    Executor(net::Reactor &reactor, const settings::Settings &settings, once::Incarnation self,
             retry::ContextTable &contexts, net::ByteBudget &budget, const CallInterface &interface,
             BackendChanged onBackendChanged, ContextFunction onContextEnded,
             ContextFunction onContextCancelled);
    ~Executor();
    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    /** Takes an attempt; answer is called once, unless the attempt is cancelled before. */
    AttemptId accept(Attempt attempt, AnswerFunction answer);

    /** The entry does not wait any more. Idempotent work is cancelled, other work goes on. */
    void cancel(AttemptId id);

    /** The backend server says that it is there; to be repeated, as silence means absence. */
    void announce(const BackendServer &backend);

    /** Load report of the backend server, a hint: 0 idle, 1 full. */
    void reportLoad(double utilisation);

    /** The backend server takes no new work. */
    void backendLeft();

    /** Takes another incarnation; requests under way of non-idempotent classes become unknown. */
    void adopt(once::Incarnation self);

    /** Refuses new work from now on. */
    void drain();

    /** Uses the customers' shares and limits of a configuration. */
    void configure(const model::Config &config);

    /** Token of the running call of the request with that id; empty when none runs here. */
    std::string contextOf(std::string_view requestId) const;

    /** Notes the level that a call made within a running request brought back. */
    void observeLevel(std::string_view contextToken, std::string_view callee,
                      admission::Level level);

    /** Requests running or queued here. */
    std::size_t activeCount() const;

    const BackendServer &backend() const;

    /** Requests that admission lets run at once. */
    std::uint32_t limit() const;

    /** Worst priority that admission takes. */
    admission::Level level() const;

    /** Calls that the backend server refused or whose answer was lost, by kind and match. */
    const std::map<std::string, std::uint64_t> &backendFailures() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace dock

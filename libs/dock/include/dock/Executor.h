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
#include <drain/Expectation.h>
#include <model/Config.h>
#include <once/Incarnation.h>
#include <retry/RepeatStatus.h>

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

/** Id of an attempt in progress at this executor. */
using AttemptId = std::uint64_t;

/**
 * Runs attempts on the local backend server: admission, once-only record and the call itself.
 *
 * To be used on the data task's thread only; the answer function may be called from inside
 * accept().
 */
class Executor
{
public:
    using AnswerFunction = std::function<void(AttemptAnswer)>;
    using BackendChanged = std::function<void(const BackendServer &)>;
    using ContextFunction = std::function<void(const std::string &token)>;

    /**
     * The context table holds the calls that run here; the budget limits the memory of messages to
     * and from the backend server. All references must outlive the executor. For a running call
     * that is cancelled, onContextCancelled is called first, then onContextEnded.
     */
    Executor(net::Reactor &reactor, const settings::Settings &settings, once::Incarnation self,
             retry::ContextTable &contexts, net::ByteBudget &budget, const CallInterface &interface,
             BackendChanged onBackendChanged, ContextFunction onContextEnded,
             ContextFunction onContextCancelled);
    ~Executor();
    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    /** Starts an attempt; answer is called once, unless the attempt is cancelled before. */
    AttemptId accept(Attempt attempt, AnswerFunction answer);

    /** The entry stopped waiting. Cancels an idempotent attempt; a non-idempotent one continues. */
    void cancel(AttemptId id);

    /** The backend server is ready; to be repeated, as it is treated as absent without this. */
    void announce(const BackendServer &backend);

    /** Load reported by the backend server, from 0 (idle) to 1 (full); only a hint. */
    void reportLoad(double utilisation);

    /** The backend server accepts no new requests. */
    void backendLeft();

    /** Changes to another incarnation; running non-idempotent requests end as unknown. */
    void setIncarnation(once::Incarnation self);

    /** Refuses new attempts from now on. */
    void drain();

    /** While this daemon drains, attempts are refused unless `accepts` returns true for them. */
    void acceptOnly(drain::AcceptFunction accepts);

    /** Refuses the attempts that wait for the backend server, as not run. */
    void returnQueue();

    /** Applies the shares and limits of the customers in a configuration. */
    void configure(const model::Config &config);

    /** Context token of the running request with this id; empty if none runs here. */
    std::string contextOf(std::string_view requestId) const;

    /** Records the admission level that a child call of a running request received. */
    void observeLevel(std::string_view contextToken, std::string_view callee,
                      admission::Level level);

    /**
     * Records the worst priority whose calls are repeated as often as needed at a service that a
     * running request has called.
     */
    void observeRepeatLevel(std::string_view contextToken, std::string_view callee,
                            admission::Level level);

    /** Repeats at the backend server; nothing if the entries limit them. */
    retry::RepeatStatus repeats() const;

    /** Whether a called service has lately refused more calls than may be repeated. */
    bool hasRepeatLevels() const;

    /** Number of running and queued requests. */
    std::size_t activeCount() const;

    const BackendServer &backend() const;

    /** Concurrency limit of admission. */
    std::uint32_t limit() const;

    /** Lowest priority that admission accepts. */
    admission::Level level() const;

    /** Number of calls that were refused or lost their answer, by kind and how it was matched. */
    const std::map<std::string, std::uint64_t> &backendFailures() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace dock

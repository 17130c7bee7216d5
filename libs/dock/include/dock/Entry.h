#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <dock/CallInfo.h>
#include <dock/OpenRequest.h>
#include <drain/Expectation.h>
#include <model/Config.h>
#include <model/Member.h>
#include <net/HttpRequest.h>
#include <once/Incarnation.h>

namespace net {
class PeerClient;
class Reactor;
} // namespace net
namespace retry {
class ContextTable;
}
namespace settings {
struct Settings;
}

namespace dock {

class Executor;
class Recorder;
struct CallInterface;
struct LoadViewStatus;

namespace details {
class Allowances;
}

/** Id of a request in progress at the entry; 0 if it was answered at once. */
using EntryId = std::uint64_t;

/** Sender of a request to the entry. */
enum class RequestSource : std::uint8_t {
    Caller, ///< received on the data port
    Daemon, ///< forwarded by another daemon, as this daemon is the home of the key
};

/**
 * Serves callers: classifies a request, selects an instance for it and responds with its outcome.
 *
 * To be used on the data task's thread only; respond may be called from inside receive().
 */
class Entry
{
public:
    using Members = std::shared_ptr<const std::vector<model::Member>>;

    /** All references must outlive the entry. */
    Entry(net::Reactor &reactor, const settings::Settings &settings, once::Incarnation self,
          net::PeerClient &client, Executor &executor, retry::ContextTable &contexts,
          const CallInterface &interface, details::Allowances &allowances);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /** Starts a request; respond is called once, unless the request is cancelled before. */
    EntryId receive(net::HttpRequest request, RequestSource source, Respond respond);

    /** Cancels a request whose caller has closed the connection. */
    void cancel(EntryId id);

    /** Issues idempotency keys for a service, bound to the customer; none while draining. */
    std::vector<std::string> issueKeys(const std::string &customer, const std::string &service,
                                       std::size_t count);

    /** A call running on the backend server ended. */
    void contextEnded(const std::string &token);

    /** A call running on the backend server was cancelled; cancels its idempotent child calls. */
    void contextCancelled(const std::string &token);

    /** Applies a configuration. */
    void configure(std::shared_ptr<const model::Config> config);

    /** No newer configuration had been written by the given time on base::elapsedNow(). */
    void confirmConfig(base::Millis confirmedAt);

    /** Replaces the list of members. */
    void setMembers(Members members);

    /** Changes to another incarnation; keys issued before become invalid. */
    void setIncarnation(once::Incarnation self);

    /**
     * Stops issuing keys, as this daemon will not be running when they are used. From now on, child
     * calls are refused unless `accepts` returns true for them.
     */
    void drain(drain::AcceptFunction accepts);

    /** Refuses new requests except child calls of requests that still run here. */
    void refuseRootRequests();

    /** Refuses all new requests at once, as the process is about to exit. */
    void close();

    /** Takes back what has not started of the callers' requests that must run once. */
    void takeBack();

    /**
     * Answers all requests in progress with what is known of them: not run if they were never sent,
     * else unknown. Cancels the idempotent ones.
     */
    void answerOpenRequests();

    /** Removes expired admission levels and return times; to be called about once a second. */
    void prune();

    /** Number of requests in progress. */
    std::size_t activeCount() const;

    /** Number of requests in progress that are not child calls of the local backend server. */
    std::size_t activeRootCount() const;

    /** The requests in progress, for logs. */
    std::vector<OpenRequest> openRequests() const;

    /** Number of re-delegations of non-idempotent requests, by the reason that allowed them. */
    const std::map<std::string, std::uint64_t> &redelegations() const;

    /** Load of the instances that calls go to; none unless calls are spread by reported load. */
    std::optional<LoadViewStatus> loadView() const;

    /** Metrics of the requests of this daemon's callers. */
    const Recorder &recorder() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace dock

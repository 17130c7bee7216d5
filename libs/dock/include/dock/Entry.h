#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <dock/CallInfo.h>
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

/** Names one request that the entry works on; 0 when it was answered at once. */
using EntryId = std::uint64_t;

/** Where a request at the entry came from. */
enum class RequestSource : std::uint8_t {
    Caller, ///< the data port
    Daemon, ///< forwarded by another daemon, as this one is the home of its key
};

/**
 * Serves callers: classifies a request, finds who runs it, and answers with its outcome.
 *
 * All members are for the data task's thread; respond may run inside receive().
 */
class Entry
{
public:
    using Members = std::shared_ptr<const std::vector<model::Member>>;

    /** All that is passed in must outlive the entry. */
    Entry(net::Reactor &reactor, const settings::Settings &settings, once::Incarnation self,
          net::PeerClient &client, Executor &executor, retry::ContextTable &contexts,
          const CallInterface &interface);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /** Takes a request; respond is called once, unless the request is cancelled before. */
    EntryId receive(net::HttpRequest request, RequestSource source, Respond respond);

    /** The caller hung up. */
    void cancel(EntryId id);

    /** Keys for requests to a service, as texts; the caller states its customer. */
    std::vector<std::string> issueKeys(const std::string &customer, const std::string &service,
                                       std::size_t count);

    /** A running call of the backend server ended. */
    void contextEnded(const std::string &token);

    /** A running call of the backend server was cancelled: its own idempotent calls are, too. */
    void contextCancelled(const std::string &token);

    /** Uses a configuration from now on. */
    void configure(std::shared_ptr<const model::Config> config);

    /** Uses the members known now. */
    void setMembers(Members members);

    /** Takes another incarnation; keys issued before are not valid any more. */
    void adopt(once::Incarnation self);

    /** Issues no further keys: this daemon will not be there to honour them. */
    void drain();

    /** Refuses further requests, but for calls made within requests that still run here. */
    void refuseRoots();

    /** Refuses every further request at once, as this process is about to end. */
    void close();

    /** Forgets what was learnt from answers and has expired; to be called about once a second. */
    void prune();

    /** Requests that wait for an answer. */
    std::size_t activeCount() const;

    /** Those of them that were not made by the backend server beside the daemon. */
    std::size_t openRoots() const;

    /** Further delegations of requests that must run once, by what allowed them. */
    const std::map<std::string, std::uint64_t> &delegatedAgain() const;

    /** What this daemon has counted of its callers' requests. */
    const Recorder &recorder() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace dock

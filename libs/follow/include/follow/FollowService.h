#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <follow/Options.h>
#include <logclient/KeyedRecord.h>

namespace logclient {
class KeyedLog;
}
namespace net {
class Reactor;
}

namespace follow {

/**
 * Executes the commands of a Core on one topic of a keyed log, which must outlive it.
 *
 * To be called on the reactor's thread only; the handler never runs inside a call.
 */
class FollowService
{
public:
    using RecordsHandler = std::function<void(const std::vector<logclient::KeyedRecord> &)>;

    FollowService(net::Reactor &reactor, logclient::KeyedLog &log, std::string topic,
                  const Options &options, RecordsHandler onRecords);
    ~FollowService();
    FollowService(const FollowService &) = delete;
    FollowService &operator=(const FollowService &) = delete;

    /** Starts over at once, on another connection, as another daemon has a newer record. */
    void catchUp();

    /** Sets whether other daemons notify this one of new records, so that it need not long-poll. */
    void setNotified(bool isNotified);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace follow

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
 * Carries out the commands of a Core on one topic of a keyed log, which must outlive it.
 *
 * All members are for the reactor's thread; the handler never runs inside a call.
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

    /** Another daemon has read a newer record: reads again at once, on another connection. */
    void catchUp();

    /** Whether other daemons tell this one of new records, so that it need not wait for them. */
    void setTold(bool isTold);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace follow

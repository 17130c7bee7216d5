#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <allowance/Group.h>
#include <base/Millis.h>
#include <once/Incarnation.h>

#include "AllotterRecord.h"

namespace logclient {
class KeyedLog;
struct KeyedPage;
} // namespace logclient

namespace dock::details {

/**
 * Looks for proof that the process which last appended to a group's partition has ended: the daemon
 * at the address in its record is a later process. The address is bound by one process at a time,
 * so a process that is paused or cut off is never taken for one that has ended.
 */
class HolderWatch
{
public:
    using IdentityHandler = std::function<void(std::optional<once::Incarnation>)>;

    /** What the watch uses and tells; the functions run on the reactor's thread. */
    struct Hooks
    {
        /** Asks the daemon at a control address which process it is; nothing: no answer. */
        std::function<void(const model::Address &, IdentityHandler)> identify_;
        /** The process that appended the record before `end` has ended. */
        std::function<void(std::uint32_t group, std::uint64_t end)> onEnded_;
        /** The daemon that appended last is running. */
        std::function<void(std::uint32_t group, const std::string &id)> onRunning_;
    };

    /** `self` is the record that this process itself would append. */
    HolderWatch(logclient::KeyedLog &log, std::string topic, AllotterRecord self, Hooks hooks);

    /** Looks at the record before `end`, unless that is in progress or was done just now. */
    void look(std::uint32_t group, std::uint64_t end, base::Millis now);

private:
    struct GroupState
    {
        std::uint64_t end_ = 0;
        std::optional<AllotterRecord> last_; ///< the record before end_
        bool isUnreadable_ = false;
        bool isBusy_ = false;
        base::Millis notBefore_;
    };

    void read(std::uint32_t group, std::uint64_t end);
    void onRead(std::uint32_t group, std::uint64_t end, const logclient::KeyedPage &page);
    void identify(std::uint32_t group, std::uint64_t end);

    logclient::KeyedLog &log_;
    const std::string topic_;
    const AllotterRecord self_;
    const Hooks hooks_;
    std::array<GroupState, allowance::groupCount> groups_;
};

} // namespace dock::details

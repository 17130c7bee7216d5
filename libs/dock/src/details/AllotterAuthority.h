#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <allowance/Authority.h>
#include <allowance/Group.h>
#include <allowance/Tenure.h>
#include <dock/Messages.h>
#include <net/Reactor.h>

#include "HolderWatch.h"
#include "SourceHooks.h"

namespace logclient {
class KeyedLog;
}

namespace dock::details {

/**
 * Keeps this daemon's authority over groups of customers by conditional appends to the log, and
 * tells the data task about it. Does nothing until the first claim, and after the last one lapsed.
 */
class AllotterAuthority
{
public:
    using Identify = std::function<void(const model::Address &, HolderWatch::IdentityHandler)>;

    /**
     * Appends go to a partition of the topic for each group, in the name of this process;
     * `identify` asks the daemon at a control address which process it is.
     */
    AllotterAuthority(net::Reactor &reactor, logclient::KeyedLog &log, std::string topic,
                      const AllotterRecord &self, Identify identify, const SourceHooks &hooks);
    ~AllotterAuthority();
    AllotterAuthority(const AllotterAuthority &) = delete;
    AllotterAuthority &operator=(const AllotterAuthority &) = delete;

    void claim(const ClaimAuthority &claim);

    void onEndHeard(const PartitionEndHeard &heard);

    /** Ends the authority over all groups for good. */
    void release();

private:
    struct GroupState
    {
        allowance::Authority authority_;
        std::optional<allowance::Tenure> reported_;
        base::Millis activeUntil_; ///< end of the last claim
        bool isInFlight_ = false;
    };

    void advance(std::uint32_t group);
    void onEnded(std::uint32_t group, std::uint64_t end);
    void send(std::uint32_t group, const allowance::Append &append);
    void report(std::uint32_t group);
    void scheduleTick();
    void tick();

    net::Reactor &reactor_;
    logclient::KeyedLog &log_;
    const std::string topic_;
    const AllotterRecord self_;
    const std::string process_; ///< prefix of producer names
    const SourceHooks &hooks_;
    const allowance::Settings settings_;
    std::array<GroupState, allowance::groupCount> groups_;
    HolderWatch watch_;
    net::TimerId timer_ = 0;
    bool isReleased_ = false;
};

} // namespace dock::details

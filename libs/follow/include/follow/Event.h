#pragma once

#include <cstdint>
#include <variant>

#include <logclient/KeyedPage.h>

namespace follow {

/** Identifies one read, so that the result of an abandoned read is ignored. */
using ReadId = std::uint64_t;

/** Starts reading; the first event. */
struct Started
{};

/** Result of a ReadNewest or ReadFrom command. */
struct ReadEnded
{
    ReadId read_ = 0;
    logclient::KeyedResult result_;
};

/** The delay of a ScheduleRead command has elapsed. */
struct ReadDue
{
    ReadId read_ = 0;
};

/** Another daemon has read a newer record than this one. */
struct PeerAhead
{};

/**
 * Whether other daemons notify this one of new records. If so, it only polls the log at long
 * intervals, in case no notification arrives.
 */
struct PeerNotifications
{
    bool isNotified_ = false;
};

using Event = std::variant<Started, ReadEnded, ReadDue, PeerAhead, PeerNotifications>;

} // namespace follow

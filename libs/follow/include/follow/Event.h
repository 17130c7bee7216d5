#pragma once

#include <cstdint>
#include <variant>

#include <logclient/KeyedPage.h>

namespace follow {

/** Names one read, so that the result of an abandoned one is not taken for that of its successor.
 */
using ReadId = std::uint64_t;

/** Begin to read. */
struct Started
{};

/** End of a ReadNewest or ReadFrom command. */
struct ReadEnded
{
    ReadId read_ = 0;
    logclient::KeyedResult result_;
};

/** The delay of a Retry command is over. */
struct RetryDue
{
    ReadId read_ = 0;
};

/** Another daemon is known to have read a newer record than this one. */
struct BehindOthers
{};

/**
 * Whether other daemons tell this one of new records. If so, it only looks for them at long
 * intervals, in case nobody does.
 */
struct ToldByOthers
{
    bool isTold_ = false;
};

using Event = std::variant<Started, ReadEnded, RetryDue, BehindOthers, ToldByOthers>;

} // namespace follow

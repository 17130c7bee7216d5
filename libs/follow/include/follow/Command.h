#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <follow/Event.h>
#include <logclient/KeyedRecord.h>

namespace follow {

/** Read the newest record of each key, after a key. */
struct ReadNewest
{
    ReadId read_ = 0;
    std::string after_;

    bool operator==(const ReadNewest &) const = default;
};

/** Read the records from an offset on, waiting for the first one. */
struct ReadFrom
{
    ReadId read_ = 0;
    std::uint64_t offset_ = 0;
    base::Millis wait_;

    bool operator==(const ReadFrom &) const = default;
};

/** Tell RetryDue after a delay. */
struct Retry
{
    ReadId read_ = 0;
    base::Millis delay_;

    bool operator==(const Retry &) const = default;
};

/** Records were read: newer ones of a key come after older ones, and some may come twice. */
struct Deliver
{
    std::vector<logclient::KeyedRecord> records_;

    bool operator==(const Deliver &) const = default;
};

/** The log does not answer any more, or answers again. */
struct LogStateChanged
{
    bool isReachable_ = false;
    std::string detail_; ///< one line for logs

    bool operator==(const LogStateChanged &) const = default;
};

using Command = std::variant<ReadNewest, ReadFrom, Retry, Deliver, LogStateChanged>;

} // namespace follow

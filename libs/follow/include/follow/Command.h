#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <follow/Event.h>
#include <logclient/KeyedRecord.h>

namespace follow {

/** Reads the newest record of each key that follows a given key. */
struct ReadNewest
{
    ReadId read_ = 0;
    std::string after_;

    bool operator==(const ReadNewest &) const = default;
};

/** Reads records from an offset on, waiting at most wait_ for the first one. */
struct ReadFrom
{
    ReadId read_ = 0;
    std::uint64_t offset_ = 0;
    base::Millis wait_;

    bool operator==(const ReadFrom &) const = default;
};

/** Requests a ReadDue event after a delay. */
struct ScheduleRead
{
    ReadId read_ = 0;
    base::Millis delay_;

    bool operator==(const ScheduleRead &) const = default;
};

/** Delivers records, those of a key in the order of writing; a record may be delivered twice. */
struct DeliverRecords
{
    std::vector<logclient::KeyedRecord> records_;

    bool operator==(const DeliverRecords &) const = default;
};

/** The log became unreachable or reachable again. */
struct LogStateChanged
{
    bool isReachable_ = false;
    std::string detail_; ///< one line for logs

    bool operator==(const LogStateChanged &) const = default;
};

using Command = std::variant<ReadNewest, ReadFrom, ScheduleRead, DeliverRecords, LogStateChanged>;

} // namespace follow

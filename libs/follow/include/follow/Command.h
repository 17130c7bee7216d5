#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <follow/Event.h>
#include <logclient/KeyedRecord.h>
#include <model/Address.h>

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

/** Asks another daemon for a confirmation. Answered by exactly one InquiryEnded event. */
struct Inquire
{
    InquiryId inquiry_ = 0;
    model::Address to_;

    bool operator==(const Inquire &) const = default;
};

/** Fetches the configuration of another daemon, which has a newer one. */
struct FetchConfig
{
    model::Address from_;
    model::Revision revision_ = 0;

    bool operator==(const FetchConfig &) const = default;
};

/** Requests a TimerExpired event at a time; replaces an earlier WakeAt. */
struct WakeAt
{
    base::Millis time_;

    bool operator==(const WakeAt &) const = default;
};

/**
 * Delivers records, those of a key in the order of writing; a record may be delivered twice.
 * Answered by exactly one RecordsHandled event.
 */
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

/** This daemon starts to read the log for itself, or to rely on others. */
struct DutyChanged
{
    bool isReading_ = false;
    bool isElected_ = false;   ///< by rank; otherwise as nobody else confirms the revision
    base::Millis evidenceAge_; ///< Millis::max() if there has been none

    bool operator==(const DutyChanged &) const = default;
};

/** No revision newer than the one in force had been written by this time, later than before. */
struct EvidenceAdvanced
{
    base::Millis confirmedAt_;

    bool operator==(const EvidenceAdvanced &) const = default;
};

using Command = std::variant<ReadNewest, ReadFrom, Inquire, FetchConfig, WakeAt, DeliverRecords,
                             LogStateChanged, DutyChanged, EvidenceAdvanced>;

} // namespace follow

#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include <follow/Confirmation.h>
#include <follow/Peers.h>
#include <logclient/KeyedPage.h>

namespace follow {

/** Identifies one read, so that the result of an abandoned read is ignored. */
using ReadId = std::uint64_t;

/** Identifies one inquiry at another daemon. */
using InquiryId = std::uint64_t;

/** Starts reading; the first event. */
struct Started
{};

/** Result of a ReadNewest or ReadFrom command. */
struct ReadEnded
{
    ReadId read_ = 0;
    logclient::KeyedResult result_;
};

/** The records of a DeliverRecords command were processed. */
struct RecordsHandled
{
    bool isNewestInForce_ = true; ///< false if the newest record could not be applied
};

/** The time of a WakeAt command has come. */
struct TimerExpired
{};

/** Another daemon has read a newer record than this one. */
struct PeerAhead
{};

/** The daemons of the data centre changed, or their order. */
struct PeersChanged
{
    Peers peers_;
};

/** A revision is in force at this daemon, wherever it came from. */
struct RevisionInForce
{
    model::Revision revision_ = 0;
};

/** Answer to an Inquire command; no confirmation if the daemon has none or did not answer. */
struct InquiryEnded
{
    InquiryId inquiry_ = 0;
    std::optional<Confirmation> confirmation_;
};

using Event = std::variant<Started, ReadEnded, RecordsHandled, TimerExpired, PeerAhead,
                           PeersChanged, RevisionInForce, InquiryEnded>;

} // namespace follow

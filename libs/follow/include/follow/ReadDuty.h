#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include <base/Millis.h>
#include <follow/Command.h>
#include <follow/Confirmation.h>
#include <follow/Options.h>
#include <follow/Peers.h>

namespace follow {

/**
 * Decides whether this daemon reads the log for itself or relies on the reads of others.
 *
 * A daemon relies on others only while it holds recent evidence that its revision is the newest.
 * The readers get it from the log, all others by asking daemons of a higher rank. When the evidence
 * becomes too old, for whatever reason, the daemon stands in: it reads for itself until it gets
 * recent evidence from a daemon of a higher rank again. No I/O, clock or thread.
 */
class ReadDuty
{
public:
    explicit ReadDuty(const Options &options);

    void setPeers(Peers peers, base::Millis now);

    /** The revision in force. Evidence of the earlier one holds for a newer one as well. */
    void setRevision(model::Revision revision) { revision_ = revision; }

    /** Records that a read of this daemon covers the log up to the given time. */
    void confirm(base::Millis coveredUntil);

    /** Processes the answer to an inquiry; returns what to fetch if that daemon is ahead. */
    std::optional<FetchConfig> onAnswer(const InquiryEnded &answer, base::Millis now);

    /** Takes the steps that are due; returns the inquiries to make. */
    std::vector<Inquire> advance(base::Millis now);

    /** Time at which advance() has the next step to take. */
    base::Millis nextStep() const;

    bool isElected() const;
    bool isReading() const { return isElected() || isStandIn_; }

    /** Time by which no newer revision had been written; nothing if there is no evidence. */
    std::optional<base::Millis> confirmedAt() const { return confirmedAt_; }

    /** Age of the evidence; Millis::max() if there is none. */
    base::Millis evidenceAge(base::Millis now) const;

    /** What this daemon may tell others; nothing if it has no evidence. */
    std::optional<Confirmation> confirmation(base::Millis now) const;

private:
    struct PendingInquiry
    {
        model::Address to_;
        base::Millis askedAt_;
        bool isFallback_ = false;
    };

    std::size_t readerCount() const;
    std::size_t candidateCount() const;
    base::Millis longestReliance() const;
    std::vector<Inquire> advanceDuty(base::Millis now);
    bool mustAskFallback(base::Millis now) const;
    base::Millis nextDutyStep() const;
    base::Millis nextFallbackStep() const;
    Inquire inquire(base::Millis now);
    Inquire inquireFallback(base::Millis now);
    std::vector<Inquire> inquireAll(base::Millis now);

    const Options options_;
    Peers peers_;
    model::Revision revision_ = 0;
    std::optional<base::Millis> confirmedAt_; ///< no newer revision had been written by then
    bool isStandIn_ = true;                   ///< until the first evidence from others
    std::optional<base::Millis> lastInquiryEnd_;
    base::Millis nextInquiry_;
    std::size_t nextCandidate_ = 0; ///< index in the higher-ranked peers
    base::Millis nextFallbackInquiry_;
    std::size_t nextFallback_ = 0; ///< index in the fallback peers
    InquiryId lastId_ = 0;
    std::map<InquiryId, PendingInquiry> pending_;
};

} // namespace follow

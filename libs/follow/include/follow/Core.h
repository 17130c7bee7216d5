#pragma once

#include <optional>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <follow/Command.h>
#include <follow/Event.h>
#include <follow/Options.h>
#include <follow/ReadDuty.h>
#include <logclient/Backoff.h>

namespace follow {

/**
 * Decides how a daemon follows a keyed topic: while it has to read (see ReadDuty), it reads the
 * newest record of each key once, then all subsequent records, and starts over when records were
 * trimmed or another daemon is ahead.
 *
 * At most one read is outstanding, besides abandoned ones. No I/O, clock or thread: the caller
 * passes in events with the current time, which must include times when the machine was suspended,
 * and executes the returned commands before the next event.
 */
class Core
{
public:
    explicit Core(const Options &options);

    /** Processes an event and returns the resulting commands, in order. */
    std::vector<Command> handle(const Event &event, base::Millis now);

    /** Whether every key has been read at least once. */
    bool isComplete() const { return isComplete_; }

    /** What this daemon may tell others that ask it; nothing if it has no evidence. */
    std::optional<Confirmation> confirmation(base::Millis now) const
    {
        return duty_.confirmation(now);
    }

private:
    void on(const Started &event);
    void on(const ReadEnded &event);
    void on(const RecordsHandled &event);
    void on(const TimerExpired &event);
    void on(const PeerAhead &event);
    void on(const PeersChanged &event);
    void on(const RevisionInForce &event);
    void on(const InquiryEnded &event);
    void advance();
    void reportDuty();
    void reportEvidence();
    void startOver();
    void read();
    base::Millis nextWait() const;
    void handlePage(const logclient::KeyedPage &page);
    void confirmCoverage();
    void scheduleRetry(const logclient::LogError &error);
    void setReachable(bool isReachable, std::string detail);
    void wakeForNextStep();

    const Options options_;
    ReadDuty duty_;
    logclient::Backoff backoff_;
    std::vector<Command> commands_;
    base::Millis now_;
    base::Millis wakeAt_ = base::Millis::max();
    ReadId currentRead_ = 0;
    bool isReadOutstanding_ = false;
    base::Millis readStartedAt_;
    base::Millis readWait_;        ///< of the outstanding ReadFrom
    base::Millis snapshotAt_;      ///< start of the ReadNewest of the first page
    base::Millis nextRead_;        ///< not before this time, after a failure
    std::string afterKey_;         ///< last key of the previous page, while reading newest records
    std::uint64_t nextOffset_ = 0; ///< of the next ReadFrom
    std::optional<base::Millis> coveredUntil_; ///< by the last read, until its records are handled
    std::optional<base::Millis> reportedEvidence_; ///< in the last EvidenceAdvanced
    bool isNewestInForce_ = true;                  ///< the newest record of the log was applied
    bool isReadingNewest_ = true;
    bool mustRead_ = false; ///< whatever the duty, until a read has succeeded
    bool isComplete_ = false;
    bool isReachable_ = true;
    bool reportedReading_ = true; ///< in the last DutyChanged
};

} // namespace follow

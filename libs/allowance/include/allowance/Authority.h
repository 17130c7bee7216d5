#pragma once

#include <cstdint>
#include <optional>

#include <allowance/Append.h>
#include <allowance/AppendResult.h>
#include <allowance/Settings.h>
#include <allowance/Tenure.h>
#include <base/Millis.h>

namespace allowance {

/**
 * Decides when this daemon is the allotter of one group: a lease that is kept by conditional
 * appends to a partition of the log, which is linearizable. No I/O.
 *
 * `now` is a clock that also counts pauses of the process and the machine.
 */
class Authority
{
public:
    explicit Authority(const Settings &settings);

    /** Another daemon needs an allotter, or this one is to be it. Keeps a held authority alive. */
    void claim(base::Millis now);

    /** The former allotter ended its authority when the partition ended at `end`. */
    void claimAfterHandOver(std::uint64_t end, base::Millis now);

    /** The append to send now, if any; onResult() must follow. */
    std::optional<Append> due(base::Millis now);

    /** Result of an append that due() returned. */
    void onResult(const Append &append, const AppendResult &result, base::Millis now);

    /**
     * End of the partition at which this daemon waits for the lease of another to run out, if it
     * does: proof that the process that appended last has ended makes the wait needless.
     */
    std::optional<std::uint64_t> awaitedEnd(base::Millis now) const;

    /** The present allotter tells that the partition ended at `end` after its append. */
    void onEndHeard(std::uint64_t end, base::Millis now);

    /** The process whose record is the last one before `end` has ended by now. */
    void onHolderEnded(std::uint64_t end, base::Millis now);

    /**
     * Ends the authority for good. Returns the end of the partition, for claimAfterHandOver() of
     * another, if this daemon had authority last and its ledger is complete: until
     * Tenure::quietUntil_ it does not know what its predecessor granted.
     */
    std::optional<std::uint64_t> release();

    /** Present authority, if any. */
    std::optional<Tenure> tenure(base::Millis now) const;

private:
    struct Call
    {
        Append append_;
        base::Millis firstSent_;
        base::Millis resendAt_;
        bool isInFlight_ = false;
        bool isHandOver_ = false;
    };

    std::optional<std::uint64_t> endToAppendAt(base::Millis now) const;
    base::Millis lastGrantBefore() const;
    void onAppended(std::uint64_t end, base::Millis now);
    void onEndMoved(std::uint64_t end, base::Millis now);
    void onNoAnswer(base::Millis now);
    void forgetEnd();

    Settings settings_;
    std::optional<Call> call_;                  ///< without a conclusive answer so far
    std::optional<std::uint64_t> end_;          ///< of the partition, when last heard
    std::optional<std::uint64_t> handOver_;     ///< end at which the former allotter resigned
    base::Millis endKnownAt_;                   ///< when end_ was heard first
    std::optional<base::Millis> holderEndedAt_; ///< the last record's process had ended by then
    base::Millis claimUntil_;
    base::Millis renewAt_;
    Tenure tenure_;
    bool isEndAnnounced_ = false; ///< end_ was heard from the allotter, not from the log
    bool wasLast_ = false;        ///< the last known record of the partition is this daemon's
    bool isReleased_ = false;
    base::Millis lastNow_; ///< of the last call with a time
    std::uint64_t series_ = 0;
    std::uint64_t sequence_ = 0;
};

} // namespace allowance

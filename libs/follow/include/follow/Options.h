#pragma once

#include <cstddef>
#include <cstdint>

#include <base/Millis.h>

namespace follow {

/** When a Core reads a topic, and for how long it relies on the reads of others. */
struct Options
{
    std::size_t minReaders_ = 1;        ///< of a data centre; the others rely on them
    std::size_t membersPerReader_ = 32; ///< larger data centres have one reader for so many members

    /**
     * Wait of one read for new records. Each answer confirms the revision in force, so this is
     * also how old the evidence of a reader becomes.
     */
    base::Millis readWait_ = base::Millis(800);

    /** Age of the evidence from which on a daemon asks another one for newer evidence. */
    base::Millis askAge_ = base::Millis(800);
    base::Millis minAskInterval_ = base::Millis(200);
    base::Millis standInAskInterval_ = base::Millis(1000); ///< of a daemon that reads meanwhile

    /**
     * Age of the evidence from which on a daemon reads for itself: at once if it is next in rank
     * after the readers, and later by rankDelay_ for each further rank. Evidence of this age, the
     * longest delay, the last inquiry and a read together stay below the time in which a new
     * configuration has to be in force.
     */
    base::Millis maxAge_ = base::Millis(1100);
    base::Millis rankDelay_ = base::Millis(150);
    base::Millis maxRankDelay_ = base::Millis(400);
    base::Millis lastInquiry_ = base::Millis(100); ///< wait for answers before a read of one's own
    std::size_t maxInquiries_ = 4;                 ///< daemons asked at once before such a read

    /**
     * Age that the evidence does not reach while the log answers this data centre. From then on a
     * daemon asks Peers::fallback_, whether it reads or not.
     */
    base::Millis inTouchAge_ = base::Millis(2000);
    base::Millis fallbackInterval_ = base::Millis(250); ///< between inquiries at Peers::fallback_

    base::Millis firstRetryDelay_ = base::Millis(100); ///< after a failed read; doubles
    base::Millis maxRetryDelay_ = base::Millis(1000);
    std::int64_t standInRetryFactor_ = 2; ///< times as long, for daemons that are not readers
    std::uint64_t seed_ = 1;
};

} // namespace follow

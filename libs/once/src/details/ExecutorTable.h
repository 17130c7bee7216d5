#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include <base/Millis.h>
#include <details/ExecutorRecord.h>
#include <once/ExecutorSettings.h>
#include <once/RecordCounts.h>
#include <once/SubKey.h>

namespace once::details {

/** The records of an executor, within its limits of memory. */
class ExecutorTable
{
public:
    explicit ExecutorTable(const ExecutorSettings &settings);

    /** The track of the home, also when it is of another generation; or nullptr. */
    HomeTrack *track(const std::string &homeId);

    /** Makes a track for a home; nullptr when there are too many. */
    HomeTrack *addTrack(const Incarnation &home);

    /** Goes over to a later process of the same home; all its earlier records must be closed. */
    void restart(HomeTrack &track, std::uint64_t generation);

    /** The record of exactly that sub-key, or nullptr. */
    ExecutorRecord *find(const SubKey &subKey);

    /** Whether another request may run. */
    bool hasRoom() const { return liveRecords_ < settings_.maxRecords_; }

    /** Adds a record that is going to run. */
    ExecutorRecord &addLive(HomeTrack &track, std::uint64_t number, base::Millis startBy);

    /** Adds a record that is refused from the start. */
    void addRefused(HomeTrack &track, const SubKey &subKey, const NotRun &why, base::Millis now);

    /** Decides a live record and keeps the outcome for a time. */
    void decide(const SubKey &subKey, ExecutorRecord &record, Outcome outcome, base::Millis now);

    /** Forgets the decided records of a home below that number. */
    void settle(HomeTrack &track, std::uint64_t below);

    /** Forgets what has been kept for long enough, and the oldest of what is too much. */
    void forgetOld(base::Millis now);

    RecordCounts counts() const;

private:
    /** A decided record and when it may be forgotten. */
    struct Kept
    {
        base::Millis until_;
        HomeTrack *track_ = nullptr; ///< tracks are never removed
        std::uint64_t generation_ = 0;
        std::uint64_t number_ = 0;
    };

    using Records = std::map<std::uint64_t, ExecutorRecord>;

    Kept keptUntil(const SubKey &subKey, base::Millis until);
    bool isThere(const Kept &kept) const;
    void forget(const Kept &kept);
    Records::iterator remove(HomeTrack &track, Records::iterator position);

    ExecutorSettings settings_;
    std::unordered_map<std::string, HomeTrack> tracks_;
    std::deque<Kept> finished_; ///< by time of their decision
    std::deque<Kept> refused_;  ///< by time of their decision
    std::size_t liveRecords_ = 0;
    std::size_t refusedRecords_ = 0;
    std::size_t answerBytes_ = 0;
};

} // namespace once::details

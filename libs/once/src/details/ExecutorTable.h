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

/** The records of an executor, within its memory limits. */
class ExecutorTable
{
public:
    explicit ExecutorTable(const ExecutorSettings &settings);

    /** The home, whatever its generation, or nullptr. */
    TrackedHome *findHome(const std::string &homeId);

    /** Adds a home; nullptr if the limit is reached. */
    TrackedHome *addHome(const Incarnation &home);

    /** Switches to a later process of a home; its earlier waiters must have been answered. */
    void restart(TrackedHome &home, std::uint64_t generation);

    /** The record of the sub-key in the current generation of its home, or nullptr. */
    ExecutorRecord *find(const SubKey &subKey);

    /** Whether another request may run. */
    bool hasRoom() const { return liveRecords_ < settings_.maxRecords_; }

    /** Adds a record that is queued for admission. */
    ExecutorRecord &addLive(TrackedHome &home, std::uint64_t number, base::Millis startBy);

    /** Adds a record that is refused on arrival. */
    void addRefused(TrackedHome &home, const SubKey &subKey, const NotRun &notRun,
                    base::Millis now);

    /** Sets the final outcome of a live record and schedules its eviction. */
    void decide(const SubKey &subKey, ExecutorRecord &record, Outcome outcome, base::Millis now);

    /** Evicts the decided records of a home below that number. */
    void evictSettled(TrackedHome &home, std::uint64_t below);

    /** Evicts records past their retention, and the oldest ones beyond the limits. */
    void evictExpired(base::Millis now);

    RecordCounts counts() const;

private:
    /** A decided record and the time of its eviction. */
    struct EvictionEntry
    {
        base::Millis evictAt_;
        TrackedHome *home_ = nullptr; ///< homes are never removed
        std::uint64_t generation_ = 0;
        std::uint64_t number_ = 0;
    };

    using Records = std::map<std::uint64_t, ExecutorRecord>;

    EvictionEntry evictionEntry(const SubKey &subKey, base::Millis evictAt);
    bool hasRecord(const EvictionEntry &entry) const;
    void evict(const EvictionEntry &entry);
    Records::iterator remove(TrackedHome &home, Records::iterator position);

    ExecutorSettings settings_;
    std::unordered_map<std::string, TrackedHome> homes_;
    std::deque<EvictionEntry> finished_; ///< in order of decision
    std::deque<EvictionEntry> refused_;  ///< in order of decision
    std::size_t liveRecords_ = 0;
    std::size_t refusedRecords_ = 0;
    std::size_t answerBytes_ = 0;
};

} // namespace once::details

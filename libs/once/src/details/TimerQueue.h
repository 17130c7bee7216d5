#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include <base/Millis.h>

namespace once::details {

/** Timers of records, ordered by due time; entries may be stale. */
class TimerQueue
{
public:
    /** Schedules a timer for the record. */
    void add(base::Millis due, std::uint64_t record) { entries_.push(Entry{due, record}); }

    /** Removes one due entry and returns its record; 0 if none is due. */
    std::uint64_t takeDue(base::Millis now)
    {
        if (entries_.empty() || entries_.top().due_ > now)
            return 0;
        const auto record = entries_.top().record_;
        entries_.pop();
        return record;
    }

    /** Removes entries from the front while isStale(due, record) is true. */
    template<typename IsStale>
    void dropStale(IsStale isStale)
    {
        while (!entries_.empty() && isStale(entries_.top().due_, entries_.top().record_))
            entries_.pop();
    }

    /** Due time of the first entry; Millis::max() if there is none. */
    base::Millis next() const
    {
        return entries_.empty() ? base::Millis::max() : entries_.top().due_;
    }

private:
    struct Entry
    {
        base::Millis due_;
        std::uint64_t record_ = 0;

        auto operator<=>(const Entry &) const = default;
    };

    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries_;
};

} // namespace once::details

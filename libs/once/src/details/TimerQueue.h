#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include <base/Millis.h>

namespace once::details {

/** Times at which records have to be looked at again; entries may be out of date. */
class TimerQueue
{
public:
    /** Asks for a look at the record at that time. */
    void add(base::Millis due, std::uint64_t record) { entries_.push(Entry{due, record}); }

    /** Removes one entry that is due and returns its record, or 0. */
    std::uint64_t takeDue(base::Millis now)
    {
        if (entries_.empty() || entries_.top().due_ > now)
            return 0;
        const auto record = entries_.top().record_;
        entries_.pop();
        return record;
    }

    /** Removes entries from the front for which the function of time and record is true. */
    template<typename IsStale>
    void dropStale(IsStale isStale)
    {
        while (!entries_.empty() && isStale(entries_.top().due_, entries_.top().record_))
            entries_.pop();
    }

    /** Time of the first entry; Millis::max() when there is none. */
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

#pragma once

#include <functional>
#include <map>

#include <base/Millis.h>

/** Runs functions in order of virtual time; those of equal time in insertion order. */
class VirtualTime
{
public:
    base::Millis now() const { return now_; }

    void schedule(base::Millis time, std::function<void()> function)
    {
        queue_.emplace(std::max(time, now_), std::move(function));
    }

    void runUntil(base::Millis end)
    {
        while (!queue_.empty() && queue_.begin()->first <= end) {
            auto next = queue_.extract(queue_.begin());
            now_ = next.key();
            next.mapped()();
        }
        now_ = end;
    }

private:
    std::multimap<base::Millis, std::function<void()>> queue_;
    base::Millis now_ = base::Millis(1000);
};

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <base/Millis.h>

namespace drain {

/** The recent times of requests, by class: how long nearly all of them took. */
class UsualTimes
{
public:
    /** Adds the time that a request of the class took until its end, whatever that was. */
    void record(const std::string &requestClass, base::Millis time);

    /** A time that few of the recent requests of the class exceeded; nothing if there were none. */
    std::optional<base::Millis> of(const std::string &requestClass) const;

private:
    /** The most recent times, in a ring. */
    struct Recent
    {
        std::vector<base::Millis> times_;
        std::size_t next_ = 0;
    };

    std::map<std::string, Recent> recent_;
};

} // namespace drain

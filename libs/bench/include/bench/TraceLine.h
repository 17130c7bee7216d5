#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <base/Error.h>
#include <base/Millis.h>

namespace bench {

/** Attempt of a caller in a recorded trace; docs/trace-format.md specifies the format. */
struct TraceLine
{
    base::Millis sendOffset_; ///< since the start of the trace
    std::string method_;
    std::string service_;
    std::string path_;
    std::string class_;
    std::string customer_; ///< may be empty
    base::Millis deadline_;
    std::string keyGroup_; ///< groups attempts of one at-most-once request; empty: idempotent
    std::map<std::string, base::Millis>
            serviceTimes_; ///< service time, by service of the call chain

    /** Parses one line; fails with "bad-trace". */
    static base::Result<TraceLine> parse(std::string_view text);

    /** Parses a trace; skips empty lines and lines that begin with '#'. */
    static base::Result<std::vector<TraceLine>> parseAll(const std::string &text);

    /** Formats the line; inverse of parse(). */
    std::string text() const;

    bool operator==(const TraceLine &) const = default;
};

/** Formats service times in ms, such as "redeem:80,wallet:120"; "-" if there are none. */
std::string serviceTimesText(const std::map<std::string, base::Millis> &work);

/** Inverse of serviceTimesText(); fails with "bad-work". */
base::Result<std::map<std::string, base::Millis>> parseServiceTimes(std::string_view text);

} // namespace bench

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <base/Error.h>
#include <base/Millis.h>

namespace bench {

/** One attempt of a caller in a recorded trace; the format is in docs/trace-format.md. */
struct TraceLine
{
    base::Millis at_; ///< since the start of the trace
    std::string method_;
    std::string service_;
    std::string path_;
    std::string class_;
    std::string customer_; ///< may be empty
    base::Millis deadline_;
    std::string keyGroup_; ///< attempts of one request that must run once; empty: idempotent
    std::map<std::string, base::Millis> work_; ///< service time by service of the call chain

    /** Parses one line; fails with "bad-trace". */
    static base::Result<TraceLine> parse(std::string_view text);

    /** Parses a trace; empty lines and those that begin with '#' are skipped. */
    static base::Result<std::vector<TraceLine>> parseAll(const std::string &text);

    /** Text form, the inverse of parse(). */
    std::string text() const;

    bool operator==(const TraceLine &) const = default;
};

/** Service times as text, such as "redeem:80,wallet:120"; "-" when there are none. */
std::string workText(const std::map<std::string, base::Millis> &work);

/** Inverse of workText(); fails with "bad-work". */
base::Result<std::map<std::string, base::Millis>> parseWork(std::string_view text);

} // namespace bench

#pragma once

#include <optional>
#include <string>

#include <model/Address.h>
#include <once/Incarnation.h>

namespace dock::details {

/** What an allotter appends to the log: the process that has the authority from then on. */
struct AllotterRecord
{
    once::Incarnation holder_;
    model::Address controlAddress_; ///< where that process can be asked whether it still runs

    /** Value of the record; its key is the daemon's id. */
    std::string encode() const;

    /** Nothing if the record is malformed, as one of another version may be. */
    static std::optional<AllotterRecord> parse(const std::string &key, const std::string &value);

    bool operator==(const AllotterRecord &) const = default;
};

} // namespace dock::details

#pragma once

#include <string>
#include <string_view>

#include <base/Error.h>
#include <model/Address.h>

namespace rendezvous {

/** One record of the rendezvous stream: where a daemon can be found. */
struct Meeting
{
    std::string id_;
    std::string dataCentre_;
    model::Address controlAddress_;

    /** Parses a record; fails with "bad-meeting". */
    static base::Result<Meeting> parse(std::string_view text);

    /** Text form, the inverse of parse(). */
    std::string text() const;

    bool operator==(const Meeting &) const = default;
};

} // namespace rendezvous

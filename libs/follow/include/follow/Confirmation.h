#pragma once

#include <string>

#include <base/Error.h>
#include <base/Millis.h>
#include <model/Revision.h>

namespace follow {

/**
 * Evidence that a revision is the newest one: no newer one had been written `age_` before this was
 * said. An age, as the clocks of daemons differ.
 */
struct Confirmation
{
    model::Revision revision_ = 0;
    base::Millis age_;

    /** One line of text: the revision and the age in milliseconds, rounded up. */
    std::string encode() const;

    /** Inverse of encode(); fails with "bad-confirmation". */
    static base::Result<Confirmation> parse(const std::string &text);

    bool operator==(const Confirmation &) const = default;
};

} // namespace follow

#pragma once

#include <string>
#include <variant>

#include <note/Outcome.h>

namespace notesync {

/** The log has decided. */
struct Decided
{
    note::Outcome outcome_;

    bool operator==(const Decided &) const = default;
};

/** Not appended: nothing took effect. */
struct NotPublished
{
    std::string reason_;

    bool operator==(const NotPublished &) const = default;
};

/** It may take effect or have taken effect; publishing the same note again is safe. */
struct NotKnown
{
    std::string reason_;

    bool operator==(const NotKnown &) const = default;
};

/** What came of publishing a note. */
using PublishResult = std::variant<Decided, NotPublished, NotKnown>;

} // namespace notesync

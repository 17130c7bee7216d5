#pragma once

#include <string>
#include <variant>

#include <note/Outcome.h>

namespace notesync {

/** The record of the note was accepted or rejected. */
struct Decided
{
    note::Outcome outcome_;

    bool operator==(const Decided &) const = default;
};

/** The note was not appended and has no effect. */
struct NotPublished
{
    std::string reason_;

    bool operator==(const NotPublished &) const = default;
};

/** The note may have been appended, or may be appended later; publishing it again is safe. */
struct OutcomeUnknown
{
    std::string reason_;

    bool operator==(const OutcomeUnknown &) const = default;
};

/** Result of a publish request. */
using PublishResult = std::variant<Decided, NotPublished, OutcomeUnknown>;

} // namespace notesync

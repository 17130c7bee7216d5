#pragma once

#include <cstdint>
#include <string>

#include <model/Revision.h>

namespace note {

/** Whether a release note was accepted, and why not; the same at every daemon. */
struct Outcome
{
    std::uint64_t offset_ = 0; ///< of the record that decided the outcome
    bool accepted_ = false;
    model::Revision revision_ = 0; ///< created by the note, or in force when it was rejected
    std::string
            contentDigest_; ///< of the note; distinguishes a repeat from another note of that id
    std::string reason_;    ///< empty when accepted

    auto operator<=>(const Outcome &) const = default;
};

} // namespace note

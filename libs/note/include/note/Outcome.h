#pragma once

#include <cstdint>
#include <string>

#include <model/Revision.h>

namespace note {

/** What became of one release note; the same at every daemon. */
struct Outcome
{
    std::uint64_t offset_ = 0; ///< of the record that decided it
    bool accepted_ = false;
    model::Revision revision_ = 0; ///< made by the note, or in force when it was rejected
    std::string contentDigest_;    ///< of the note; tells a repeat from another note of that id
    std::string reason_;           ///< empty when accepted

    auto operator<=>(const Outcome &) const = default;
};

} // namespace note

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <base/Error.h>
#include <model/Config.h>
#include <note/Outcome.h>
#include <note/ReleaseNote.h>

namespace note {

/** One item with the note that last changed it. */
struct Item
{
    model::Revision changed_ = 0;
    std::string noteId_;
    std::optional<ItemValue> value_; ///< none: withdrawn

    bool operator==(const Item &) const = default;
};

/**
 * Result of folding the log up to an offset.
 *
 * Folding the same records gives the same state everywhere. States can also be merged, which is
 * associative, commutative and idempotent; a state merged with an earlier one of the same log is
 * unchanged.
 */
struct State
{
    model::Revision revision_ = 0;
    std::uint64_t nextOffset_ = 0; ///< all records before it are folded
    model::Revision floor_ = 0;    ///< withdrawn items up to this revision are forgotten
    std::map<ItemKey, Item> items_;
    std::map<std::string, Outcome> outcomes_; ///< by note id; the newest ones

    bool operator==(const State &) const = default;
};

/** The configuration that the state stands for. */
model::Config configOf(const State &state);

/** Identifies revision, items and outcomes (not the offset): equal digests, equal content. */
std::string digestOf(const State &state);

/** The state with all that either state holds; where they differ the later change stays. */
State merge(const State &a, const State &b);

/** Why the note cannot be applied to the state, or nothing when it can. */
std::optional<std::string> rejection(const State &state, const ReleaseNote &note);

/** The state after the record of a note at the offset; a repeated id changes nothing else. */
State applyNote(State state, std::uint64_t offset, const ReleaseNote &note);

} // namespace note

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

/** An item with the revision and the note of its last change. */
struct Item
{
    model::Revision changed_ = 0;
    std::string noteId_;
    std::optional<ItemValue> value_; ///< nullopt: withdrawn

    bool operator==(const Item &) const = default;
};

/**
 * Result of folding the log up to an offset.
 *
 * Folding is deterministic: the same records give the same state at every daemon. merge() is
 * associative, commutative and idempotent; merging an earlier state of the same log changes
 * nothing.
 */
struct State
{
    model::Revision revision_ = 0;
    std::uint64_t nextOffset_ = 0; ///< all records before it are folded
    model::Revision floor_ = 0;    ///< items withdrawn up to this revision have been removed
    std::map<ItemKey, Item> items_;
    std::map<std::string, Outcome> outcomes_; ///< by note id; only the newest are kept

    bool operator==(const State &) const = default;
};

/** Configuration of the live items of the state. */
model::Config configOf(const State &state);

/** Identifies the content, which is everything but nextOffset_: equal digests, equal content. */
std::string digestOf(const State &state);

/** Union of both states; of an item in both, the later change is kept. */
State merge(const State &a, const State &b);

/** Reason why the note cannot be applied to the state; nullopt if it can. */
std::optional<std::string> rejectionReason(const State &state, const ReleaseNote &note);

/** State after the record of a note at `offset`; a note with a known id only moves nextOffset_. */
State applyNote(State state, std::uint64_t offset, const ReleaseNote &note);

} // namespace note

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <model/Revision.h>
#include <note/ItemValue.h>

namespace note {

/** What a release note does with one item. */
enum class Action : std::uint8_t { Add, Change, Withdraw };

/** One line of a release note. */
struct Change
{
    Action action_ = Action::Add;
    ItemKey key_;
    std::optional<ItemValue> value_; ///< whole new definition; none when withdrawn

    bool operator==(const Change &) const = default;
};

/** What operators publish: changes written against one revision, in force all together. */
struct ReleaseNote
{
    std::string id_;              ///< chosen by the operator; names the note for ever
    model::Revision base_ = 0;    ///< revision that the operator saw when writing it
    std::vector<Change> changes_; ///< sorted by key; a key occurs once

    bool operator==(const ReleaseNote &) const = default;
};

} // namespace note

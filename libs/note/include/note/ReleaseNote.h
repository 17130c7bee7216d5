#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <model/Revision.h>
#include <note/ItemValue.h>

namespace note {

/** Action of a release note on one item. */
enum class Action : std::uint8_t { Add, Change, Withdraw };

/** Change of one item in a release note. */
struct Change
{
    Action action_ = Action::Add;
    ItemKey key_;
    std::optional<ItemValue> value_; ///< complete new definition; nullopt for Withdraw

    bool operator==(const Change &) const = default;
};

/** Configuration changes based on one revision, published by an operator and applied atomically. */
struct ReleaseNote
{
    std::string id_;              ///< chosen by the operator; must not be reused
    model::Revision base_ = 0;    ///< revision on which the operator based the changes
    std::vector<Change> changes_; ///< sorted by key, without duplicate keys

    bool operator==(const ReleaseNote &) const = default;
};

} // namespace note

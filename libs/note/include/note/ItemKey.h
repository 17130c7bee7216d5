#pragma once

#include <cstdint>
#include <string>

namespace note {

/** What a release note can add, change or withdraw. */
enum class ItemKind : std::uint8_t { Service, RequestClass, Customer, Retry };

/** Number of enumerators of ItemKind. */
constexpr std::uint8_t itemKindCount = 4;

/** Identifies one item of the configuration. A retry tolerance has the name of its class. */
struct ItemKey
{
    ItemKind kind_ = ItemKind::Service;
    std::string name_;

    /** Text for operators, such as `class "redeem"`. */
    std::string text() const;

    auto operator<=>(const ItemKey &) const = default;
};

} // namespace note

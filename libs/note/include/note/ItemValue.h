#pragma once

#include <variant>

#include <model/Customer.h>
#include <model/RequestClass.h>
#include <model/Service.h>
#include <note/ItemKey.h>
#include <note/RetryRule.h>

namespace note {

/** Definition of one item. The alternatives are in the order of ItemKind. */
using ItemValue = std::variant<model::Service, model::RequestClass, model::Customer, RetryRule>;

/** Key of the item that the value defines. */
ItemKey keyOf(const ItemValue &value);

} // namespace note

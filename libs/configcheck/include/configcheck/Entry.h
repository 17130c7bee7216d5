#pragma once

#include <string>
#include <variant>

#include <configcheck/RetryEntry.h>
#include <configcheck/RouteEntry.h>
#include <model/Customer.h>
#include <model/RequestClass.h>
#include <model/Service.h>

namespace configcheck {

/** What an entry of a configuration defines. */
using EntryValue =
        std::variant<model::Service, model::RequestClass, RouteEntry, model::Customer, RetryEntry>;

/** An entry as written, with values that may be out of range. */
struct Entry
{
    std::string place_; ///< in the file, for people
    EntryValue value_;

    bool operator==(const Entry &) const = default;
};

} // namespace configcheck

#pragma once

#include <cstdint>
#include <string>

#include <model/Revision.h>

namespace admin {

/** How many daemons of a data centre have a revision as their newest one in force. */
struct RevisionCount
{
    std::string dataCentre_;
    model::Revision revision_ = 0;
    std::uint32_t daemons_ = 0;

    bool operator==(const RevisionCount &) const = default;
};

} // namespace admin

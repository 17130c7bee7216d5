#pragma once

#include <cstdint>
#include <string>

#include <model/Revision.h>

namespace admin {

/** Number of daemons of a data centre whose newest revision in force is the given one. */
struct RevisionCount
{
    std::string dataCentre_;
    model::Revision revision_ = 0;
    std::uint32_t daemons_ = 0;

    bool operator==(const RevisionCount &) const = default;
};

} // namespace admin

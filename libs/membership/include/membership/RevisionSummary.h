#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <model/Revision.h>

namespace membership {

/**
 * How many daemons of one data centre have which revision in force, as counted by a relay.
 *
 * Sent in place of one record for each member and note: that would be the number of members times
 * the number of notes.
 */
struct RevisionSummary
{
    std::string dataCentre_;
    std::uint64_t stamp_ = 0; ///< raised by one with each new count; the higher one holds
    std::vector<std::pair<model::Revision, std::uint32_t>> counts_; ///< highest revisions first

    bool operator==(const RevisionSummary &) const = default;
};

} // namespace membership

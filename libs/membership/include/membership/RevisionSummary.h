#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <model/Revision.h>

namespace membership {

/**
 * Number of daemons of one data centre per revision in force, as counted by a relay.
 *
 * Sent instead of one record for each member and note, whose number would be the product of the
 * members and the notes.
 */
struct RevisionSummary
{
    std::string dataCentre_;
    std::uint64_t version_ = 0; ///< incremented with each new count; the higher one wins
    std::vector<std::pair<model::Revision, std::uint32_t>> counts_; ///< highest revisions first

    bool operator==(const RevisionSummary &) const = default;
};

} // namespace membership

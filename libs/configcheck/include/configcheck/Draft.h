#pragma once

#include <vector>

#include <configcheck/Entry.h>
#include <configcheck/Finding.h>
#include <model/Revision.h>

namespace configcheck {

/**
 * A configuration as written: unlike in a model::Config, entries with one name or one match are
 * still apart.
 */
struct Draft
{
    model::Revision revision_ = 0;
    bool requiresKeys_ = false; ///< requests that are not public need a key of a customer
    std::vector<Entry> entries_;
    std::vector<Finding> faults_; ///< of entries that could not be read

    bool operator==(const Draft &) const = default;
};

} // namespace configcheck

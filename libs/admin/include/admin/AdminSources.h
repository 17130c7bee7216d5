#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <admin/RevisionCount.h>
#include <model/Member.h>

namespace admin {

/** Where the administration API gets what it shows. All are called on the reactor's thread. */
struct AdminSources
{
    /** The live members with this daemon. */
    std::function<std::shared_ptr<const std::vector<model::Member>>()> members_;
    /** What each data centre has counted; members state the revision at which they joined. */
    std::function<std::vector<RevisionCount>()> revisions_;
    std::function<std::string()> status_;     ///< JSON object: what the daemon does and refuses
    std::function<std::string()> metrics_;    ///< Prometheus text
    std::function<std::string()> histograms_; ///< JSON
};

} // namespace admin

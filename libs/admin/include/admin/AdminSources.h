#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <admin/RevisionCount.h>
#include <model/Member.h>

namespace admin {

/** Data sources of the administration API, all called on the reactor's thread. */
struct AdminSources
{
    /** The live members, including this daemon. */
    std::function<std::shared_ptr<const std::vector<model::Member>>()> members_;
    /** Counts reported by each data centre; a member only states the revision at which it joined.
     */
    std::function<std::vector<RevisionCount>()> revisions_;
    std::function<std::string()> status_;  ///< JSON object: activity and rejections of the daemon
    std::function<std::string()> metrics_; ///< Prometheus text
    std::function<std::string()> histograms_; ///< JSON
};

} // namespace admin

#pragma once

#include <string>
#include <vector>

#include <dock/Messages.h>
#include <gossip/Counters.h>
#include <membership/RevisionSummary.h>
#include <metrics/Snapshot.h>
#include <model/Member.h>

namespace dock {

/** All that the status page shows of one daemon. */
struct StatusReport
{
    std::string id_;
    std::string dataCentre_;
    bool isDraining_ = false;
    bool isIsolated_ = false;
    std::vector<std::string> unreachableDataCentres_;
    std::vector<model::Member> members_;
    std::vector<membership::RevisionSummary> revisions_;
    model::Revision revision_ = 0; ///< of the configuration in force
    gossip::Counters gossip_;
    DataStatus data_;

    /** JSON object for people and programs. */
    std::string json() const;

    /** Histograms of each customer and class as JSON. */
    std::string histogramsJson() const;

    /** Prometheus text: the histograms and the daemon's own values. */
    std::string prometheus() const;
};

} // namespace dock

#pragma once

#include <string>
#include <vector>

#include <dock/Messages.h>
#include <gossip/Counters.h>
#include <membership/RevisionSummary.h>
#include <metrics/Snapshot.h>
#include <model/Member.h>

namespace dock {

/** Contents of the status page and of the metrics of one daemon. */
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
    DataStatus dataStatus_;

    /** Status page as a JSON object. */
    std::string json() const;

    /** Histograms of each customer and class as JSON. */
    std::string histogramsJson() const;

    /** Histograms, gauges and counters in the Prometheus text format. */
    std::string prometheus() const;
};

} // namespace dock

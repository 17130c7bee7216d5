#pragma once

#include <map>
#include <string>
#include <vector>

#include <membership/RevisionSummary.h>

namespace membership::details {

/** The newest count of revisions in force for each data centre, and how often each was sent. */
class RevisionBoard
{
public:
    /** Takes over a summary with a later stamp; true when it was news. */
    bool merge(const RevisionSummary &summary);

    /** Publishes a count made by this daemon if it differs from the newest one known. */
    bool publish(const std::string &dataCentre, RevisionSummary counted);

    /** Summaries still to be spread; counts them as sent. */
    std::vector<RevisionSummary> takeNews(std::uint32_t limit);

    std::vector<RevisionSummary> all() const;
    const RevisionSummary *find(const std::string &dataCentre) const;
    void forget(const std::string &dataCentre);

private:
    struct Item
    {
        RevisionSummary summary_;
        std::uint32_t timesSent_ = 0;
    };

    std::map<std::string, Item> items_;
};

} // namespace membership::details

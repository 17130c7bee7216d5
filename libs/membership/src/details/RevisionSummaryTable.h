#pragma once

#include <map>
#include <string>
#include <vector>

#include <membership/RevisionSummary.h>

namespace membership::details {

/** The latest revision summary of each data centre, with the number of times it was sent. */
class RevisionSummaryTable
{
public:
    /** Stores a summary with a higher version; returns true if it did. */
    bool merge(const RevisionSummary &summary);

    /** Stores a count made by this daemon if it differs from the latest one known. */
    bool publish(const std::string &dataCentre, RevisionSummary counted);

    /** Returns summaries sent fewer than `limit` times and counts them as sent. */
    std::vector<RevisionSummary> takePending(std::uint32_t limit);

    std::vector<RevisionSummary> all() const;
    const RevisionSummary *find(const std::string &dataCentre) const;
    void remove(const std::string &dataCentre);

private:
    struct Item
    {
        RevisionSummary summary_;
        std::uint32_t timesSent_ = 0;
    };

    std::map<std::string, Item> items_;
};

} // namespace membership::details

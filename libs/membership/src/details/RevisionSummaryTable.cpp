#include <details/RevisionSummaryTable.h>

namespace membership::details {
namespace {

/** Limits the memory that summaries from unknown senders can occupy. */
constexpr std::size_t maxDataCentres = 64;
constexpr std::size_t maxSummariesPerDatagram = 3;

} // namespace

bool RevisionSummaryTable::merge(const RevisionSummary &summary)
{
    if (items_.size() >= maxDataCentres && !items_.contains(summary.dataCentre_))
        return false;
    auto &item = items_[summary.dataCentre_];
    if (summary.version_ <= item.summary_.version_)
        return false;
    item = Item{summary, 0};
    return true;
}

bool RevisionSummaryTable::publish(const std::string &dataCentre, RevisionSummary counted)
{
    const auto *known = find(dataCentre);
    if (known && known->counts_ == counted.counts_)
        return false;
    counted.dataCentre_ = dataCentre;
    counted.version_ = known ? known->version_ + 1 : 1;
    return merge(counted);
}

std::vector<RevisionSummary> RevisionSummaryTable::takePending(std::uint32_t limit)
{
    std::vector<RevisionSummary> pending;
    for (auto &[dataCentre, item] : items_) {
        if (item.timesSent_ >= limit || pending.size() == maxSummariesPerDatagram)
            continue;
        ++item.timesSent_;
        pending.push_back(item.summary_);
    }
    return pending;
}

std::vector<RevisionSummary> RevisionSummaryTable::all() const
{
    std::vector<RevisionSummary> summaries;
    for (const auto &[dataCentre, item] : items_)
        summaries.push_back(item.summary_);
    return summaries;
}

const RevisionSummary *RevisionSummaryTable::find(const std::string &dataCentre) const
{
    const auto found = items_.find(dataCentre);
    return found == items_.end() ? nullptr : &found->second.summary_;
}

void RevisionSummaryTable::remove(const std::string &dataCentre)
{
    items_.erase(dataCentre);
}

} // namespace membership::details

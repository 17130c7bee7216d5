#include <details/RevisionBoard.h>

namespace membership::details {
namespace {

/** Bounds what strangers can make this daemon hold. */
constexpr std::size_t maxDataCentres = 64;
constexpr std::size_t maxNewsInOneDatagram = 3;

} // namespace

bool RevisionBoard::merge(const RevisionSummary &summary)
{
    if (items_.size() >= maxDataCentres && !items_.contains(summary.dataCentre_))
        return false;
    auto &item = items_[summary.dataCentre_];
    if (summary.stamp_ <= item.summary_.stamp_)
        return false;
    item = Item{summary, 0};
    return true;
}

bool RevisionBoard::publish(const std::string &dataCentre, RevisionSummary counted)
{
    const auto *known = find(dataCentre);
    if (known && known->counts_ == counted.counts_)
        return false;
    counted.dataCentre_ = dataCentre;
    counted.stamp_ = known ? known->stamp_ + 1 : 1;
    return merge(counted);
}

std::vector<RevisionSummary> RevisionBoard::takeNews(std::uint32_t limit)
{
    std::vector<RevisionSummary> news;
    for (auto &[dataCentre, item] : items_) {
        if (item.timesSent_ >= limit || news.size() == maxNewsInOneDatagram)
            continue;
        ++item.timesSent_;
        news.push_back(item.summary_);
    }
    return news;
}

std::vector<RevisionSummary> RevisionBoard::all() const
{
    std::vector<RevisionSummary> summaries;
    for (const auto &[dataCentre, item] : items_)
        summaries.push_back(item.summary_);
    return summaries;
}

const RevisionSummary *RevisionBoard::find(const std::string &dataCentre) const
{
    const auto found = items_.find(dataCentre);
    return found == items_.end() ? nullptr : &found->second.summary_;
}

void RevisionBoard::forget(const std::string &dataCentre)
{
    items_.erase(dataCentre);
}

} // namespace membership::details

#include <details/Probes.h>

namespace membership::details {
namespace {

template<typename Pending>
std::optional<Pending> takeMatching(std::map<std::uint64_t, Pending> &pending,
                                    std::uint64_t sequence, const std::string &targetId)
{
    const auto found = pending.find(sequence);
    if (found == pending.end() || found->second.targetId_ != targetId)
        return std::nullopt;
    auto result = std::move(found->second);
    pending.erase(found);
    return result;
}

} // namespace

std::uint64_t Probes::start(Probe probe)
{
    probes_.emplace(++lastSequence_, std::move(probe));
    return lastSequence_;
}

std::uint64_t Probes::startForward(ForwardedPing forward)
{
    forwards_.emplace(++lastSequence_, std::move(forward));
    return lastSequence_;
}

std::optional<Probe> Probes::finish(std::uint64_t sequence, const std::string &targetId)
{
    return takeMatching(probes_, sequence, targetId);
}

std::optional<ForwardedPing> Probes::finishForward(std::uint64_t sequence,
                                                   const std::string &targetId)
{
    return takeMatching(forwards_, sequence, targetId);
}

std::vector<std::pair<std::uint64_t, Probe>> Probes::takeTimedOut(base::Millis sentBefore)
{
    std::vector<std::pair<std::uint64_t, Probe>> late;
    for (auto &[sequence, probe] : probes_) {
        if (probe.isIndirect_ || probe.sentAt_ >= sentBefore)
            continue;
        probe.isIndirect_ = true;
        late.emplace_back(sequence, probe);
    }
    return late;
}

std::vector<Probe> Probes::takeFailed(base::Millis sentBefore)
{
    std::vector<Probe> failed;
    std::erase_if(probes_, [&](const auto &item) {
        if (item.second.sentAt_ >= sentBefore)
            return false;
        failed.push_back(item.second);
        return true;
    });
    std::erase_if(forwards_, [&](const auto &item) { return item.second.sentAt_ < sentBefore; });
    return failed;
}

void Probes::clear()
{
    probes_.clear();
    forwards_.clear();
}

} // namespace membership::details

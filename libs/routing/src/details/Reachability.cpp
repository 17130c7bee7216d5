#include <details/Reachability.h>

namespace routing::details {

void Reachability::recordSent(const model::Member &member, const Options &options, base::Millis now)
{
    const auto found = unanswered_.find(member.dataCentre_);
    if (found != unanswered_.end() && found->second.isUnreachable_)
        found->second.probeAt_ = now + options.baseEjectionTime_;
}

void Reachability::recordAnswered(const model::Member &member)
{
    if (const auto found = unanswered_.find(member.dataCentre_); found != unanswered_.end())
        unanswered_.erase(found);
}

void Reachability::recordUnanswered(const model::Member &member, const Options &options,
                                    base::Millis now)
{
    if (member.dataCentre_ == localDataCentre_)
        return;
    auto &unanswered = unanswered_[member.dataCentre_];
    ++unanswered.calls_;
    if (unanswered.firstInstance_.empty())
        unanswered.firstInstance_ = member.id_;
    const bool hasOtherInstance = unanswered.firstInstance_ != member.id_;
    if (unanswered.isUnreachable_ || !hasOtherInstance
        || unanswered.calls_ < options.failuresToEject_)
        return;
    unanswered.isUnreachable_ = true;
    unanswered.probeAt_ = now + options.baseEjectionTime_;
}

bool Reachability::isAvoided(std::string_view dataCentre, base::Millis now) const
{
    if (unanswered_.empty())
        return false;
    const auto found = unanswered_.find(dataCentre);
    return found != unanswered_.end() && found->second.isUnreachable_
           && now < found->second.probeAt_;
}

} // namespace routing::details

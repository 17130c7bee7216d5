#include <details/State.h>

#include <utility>

#include <base/Hash.h>

namespace routing::details {

namespace {
// Instances discovered this soon after the start of the daemon are assumed to be warmed up.
constexpr base::Millis startupPeriod = base::Millis(2000);
} // namespace

State::State(const Options &options)
    : options_(options)
    , random_(options.seed_)
{}

void State::on(const MembersChanged &event, base::Millis now)
{
    if (!firstEventAt_)
        firstEventAt_ = now;
    ++membershipVersion_;
    bool isPoolChange = false;
    for (const model::Member &member : event.members_) {
        if (!member.service_.empty())
            isPoolChange = updateInstance(member, now) || isPoolChange;
    }
    isPoolChange = eraseAbsent() || isPoolChange;
    if (isPoolChange)
        rebuildPools();
}

bool State::updateInstance(const model::Member &member, base::Millis now)
{
    const auto [position, isNew] = instances_.try_emplace(member.id_);
    TrackedInstance &tracked = position->second;
    tracked.lastVersion_ = membershipVersion_;
    if (!isNew && tracked.instance_->member() == member)
        return false;
    const bool isStarting = now - *firstEventAt_ < startupPeriod;
    const base::Millis warmUpEnd = isStarting ? now : now + options_.slowStartWindow_;
    auto shared = std::make_shared<const model::Member>(member);
    if (isNew) {
        const auto weight = base::rendezvousWeight(options_.daemonId_, member.id_);
        tracked.instance_ = std::make_shared<Instance>(std::move(shared), warmUpEnd, weight);
        return true;
    }
    const model::Member &old = tracked.instance_->member();
    const bool isPoolChange = old.service_ != member.service_ || old.serving_ != member.serving_
                              || old.dataCentre_ != member.dataCentre_
                              || old.region_ != member.region_;
    tracked.instance_->update(std::move(shared), warmUpEnd);
    return isPoolChange;
}

bool State::eraseAbsent()
{
    return std::erase_if(instances_,
                         [this](const auto &entry) {
                             return entry.second.lastVersion_ != membershipVersion_;
                         })
           > 0;
}

void State::rebuildPools()
{
    std::map<std::string, Pool::Instances, std::less<>> serving;
    for (const auto &[id, tracked] : instances_) {
        const model::Member &member = tracked.instance_->member();
        if (member.serving_ == model::ServingState::Ready)
            serving[member.service_].push_back(tracked.instance_);
    }
    pools_.clear();
    for (const auto &[service, instances] : serving)
        pools_.emplace(service, Pool(options_, instances));
}

void State::on(const CallSent &event, base::Millis now)
{
    if (Instance *found = instance(event.instance_))
        found->recordSent(event.priority_, options_, now);
}

void State::on(const CallAnswered &event, base::Millis now)
{
    Instance *found = instance(event.instance_);
    if (found == nullptr)
        return;
    found->recordAnswered(event, options_, now);
    if (options_.evenLoad_)
        countWait(*found, event);
}

void State::countWait(const Instance &instance, const CallAnswered &event)
{
    if (event.isHandedBack_) {
        ++loadCounters_.handedBack_;
        return;
    }
    WaitCounts &counts = loadCounters_.waits_[instance.member().service_];
    ++counts.calls_;
    if (event.queueing_ <= options_.handBackWait_ && event.kind_ != AnswerKind::Shed)
        return;
    ++counts.waited_;
    counts.uneven_ += event.isOtherFree_ ? 1 : 0;
}

void State::countChoice(const Choice &choice, base::Millis now)
{
    ++loadCounters_.choices_;
    const Instance *chosen = instance(choice.member_->id_);
    if (chosen == nullptr || !chosen->observedLoad())
        return;
    ++loadCounters_.choicesWithReport_;
    loadCounters_.reportAges_ = loadCounters_.reportAges_ + chosen->observedLoad()->age(now);
}

std::vector<std::string> State::services() const
{
    std::vector<std::string> result;
    for (const auto &[service, pool] : pools_)
        result.push_back(service);
    return result;
}

void State::on(const CallFailed &event, base::Millis now)
{
    Instance *found = instance(event.instance_);
    if (found == nullptr)
        return;
    found->recordFailed(event.kind_);
    if (const Pool *servicePool = pool(found->member().service_))
        servicePool->ejectIfFailing(*found, options_, now);
}

void State::on(const InstanceReported &event, base::Millis now)
{
    if (Instance *found = instance(event.instance_))
        found->recordReport(event, options_, now);
}

tl::expected<Choice, NoChoice> State::choose(std::string_view service,
                                             const admission::Priority &priority,
                                             std::span<const std::string> excluded,
                                             base::Millis now)
{
    const Pool *found = pool(service);
    if (found == nullptr)
        return tl::unexpected(NoChoice{NoChoiceReason::NoInstance, options_.levelExpiry_});
    const auto choice = found->choose(options_, priority, excluded, random_, now);
    if (choice && options_.evenLoad_)
        countChoice(*choice, now);
    return choice;
}

const Pool *State::pool(std::string_view service) const
{
    const auto found = pools_.find(service);
    return found != pools_.end() ? &found->second : nullptr;
}

Instance *State::instance(std::string_view id) const
{
    const auto found = instances_.find(id);
    return found != instances_.end() ? found->second.instance_.get() : nullptr;
}

} // namespace routing::details

#include <allowance/Wallet.h>

#include <algorithm>
#include <utility>

#include <allowance/Bounds.h>
#include <base/Overloaded.h>
#include <details/Purse.h>
#include <model/Customer.h>

namespace allowance {
namespace {

constexpr std::uint32_t maxHeldPerCustomer = 64;
constexpr std::uint32_t maxHeldInAll = 512;
constexpr std::size_t maxCandidates = 3; ///< asked one after the other
constexpr base::Millis silenceToRefuse(600);
constexpr base::Millis retryDelay(200); ///< after all candidates were asked
constexpr base::Millis dropInterval(1000);
constexpr base::Millis allotterKnownFor(2000);
constexpr base::Millis minUnknownRetryAfter(1000);
constexpr double unknownRetrySpread = 1500; ///< milliseconds

} // namespace

Wallet::Wallet(const Settings &settings, std::string selfId, std::uint64_t generation,
               std::uint64_t seed)
    : settings_(settings)
    , selfId_(std::move(selfId))
    , generation_(generation)
    , random_(seed)
{
    for (auto &group : groups_)
        group.askInterval_ = settings.askInterval_;
}

Wallet::~Wallet() = default;

void Wallet::setCandidates(std::uint32_t group, std::vector<std::string> daemons)
{
    groups_.at(group).candidates_ = std::move(daemons);
}

void Wallet::setCustomers(const std::vector<model::Customer> &customers)
{
    std::map<std::string_view, const model::Allowance *> allowances;
    for (const auto &customer : customers) {
        if (customer.allowance_)
            allowances.emplace(customer.name_, &*customer.allowance_);
    }
    for (const auto &group : groups_) {
        for (const auto &[name, purse] : group.purses_) {
            if (const auto found = allowances.find(name); found != allowances.end())
                purse->setBounds(Bounds::of(*found->second, settings_));
        }
    }
}

details::Purse *Wallet::find(std::string_view customer)
{
    const auto &purses = groups_[groupOf(customer)].purses_;
    const auto found = purses.find(customer);
    return found == purses.end() ? nullptr : found->second.get();
}

Verdict Wallet::admit(std::string_view customer, const model::Allowance &allowance,
                      base::Millis now)
{
    auto *purse = find(customer);
    if (!purse) {
        const auto group = groupOf(customer);
        auto created = std::make_unique<details::Purse>(std::string(customer), group,
                                                        Bounds::of(allowance, settings_), settings_,
                                                        groups_[group].number_);
        purse = groups_[group].purses_.emplace(customer, std::move(created)).first->second.get();
    }
    purse->recordDemand(now);
    const auto verdict = decide(*purse, now);
    if (!std::holds_alternative<Held>(verdict))
        return verdict;
    if (isSilent(*purse, now))
        return refuse(*purse, RefusalReason::Unknown, now);
    if (purse->held() >= maxHeldPerCustomer || heldCount_ >= maxHeldInAll)
        return refuse(*purse, RefusalReason::Spent, now);
    purse->hold();
    ++heldCount_;
    ++counts_.held_;
    return verdict;
}

Verdict Wallet::decide(details::Purse &purse, base::Millis now)
{
    if (purse.take(now)) {
        ++counts_.admitted_;
        return Admitted{};
    }
    if (purse.isDry(now) && purse.isOverAllowance())
        return refuse(purse, RefusalReason::Spent, now);
    return Held{};
}

Verdict Wallet::retry(std::string_view customer, base::Millis now)
{
    auto *purse = find(customer);
    if (!purse)
        return Refused{RefusalReason::Unknown, minUnknownRetryAfter};
    const auto verdict = decide(*purse, now);
    if (!std::holds_alternative<Held>(verdict))
        leave(customer);
    return verdict;
}

Verdict Wallet::giveUp(std::string_view customer, base::Millis now)
{
    auto *purse = find(customer);
    if (!purse)
        return Refused{RefusalReason::Unknown, minUnknownRetryAfter};
    leave(customer);
    const auto &group = groups_[purse->group()];
    const bool isKnown = group.answeredAt_ + settings_.maxHold_ * 2 > now && !group.silentSince_;
    return refuse(*purse, isKnown ? RefusalReason::Spent : RefusalReason::Unknown, now);
}

void Wallet::leave(std::string_view customer)
{
    if (auto *purse = find(customer); purse && purse->held() > 0) {
        purse->endHold();
        --heldCount_;
    }
}

void Wallet::refund(std::string_view customer, base::Millis takenAt, base::Millis now)
{
    if (auto *purse = find(customer))
        purse->giveBack(takenAt, now);
}

Verdict Wallet::refuse(details::Purse &purse, RefusalReason reason, base::Millis now)
{
    purse.recordRefusal();
    if (reason == RefusalReason::Spent) {
        ++counts_.refusedSpent_;
        return Refused{reason, purse.nextRoom(now, random_)};
    }
    ++counts_.refusedUnknown_;
    const auto spread = static_cast<std::int64_t>(random_.unit() * unknownRetrySpread);
    return Refused{reason, minUnknownRetryAfter + base::Millis(spread)};
}

bool Wallet::isSilent(const details::Purse &purse, base::Millis now) const
{
    const auto &since = groups_[purse.group()].silentSince_;
    return since && now >= *since + silenceToRefuse;
}

std::string Wallet::targetOf(const GroupState &group) const
{
    std::vector<std::string> targets;
    const auto add = [&targets](const std::string &id) {
        if (!id.empty() && std::find(targets.begin(), targets.end(), id) == targets.end())
            targets.push_back(id);
    };
    if (!group.hint_.empty())
        return group.hint_;
    add(group.allotter_);
    for (std::size_t i = 0; i < std::min(maxCandidates, group.candidates_.size()); ++i)
        add(group.candidates_[i]);
    return targets.empty() ? std::string() : targets[group.attempt_ % targets.size()];
}

std::vector<OutgoingAsk> Wallet::due(base::Millis now)
{
    std::vector<OutgoingAsk> asks;
    for (std::uint32_t index = 0; index < groupCount; ++index) {
        auto &group = groups_[index];
        if (group.outstanding_ && now >= group.outstanding_->sentAt_ + settings_.askTimeout_)
            onNoGrant(group, now);
        if (group.outstanding_ || now < group.notBefore_)
            continue;
        if (auto ask = askOf(index, now))
            asks.push_back(std::move(*ask));
    }
    if (now >= nextDrop_)
        dropIdle(now);
    return asks;
}

std::optional<OutgoingAsk> Wallet::askOf(std::uint32_t index, base::Millis now)
{
    auto &group = groups_[index];
    OutgoingAsk result{targetOf(group), {index, selfId_, generation_, 0, {}}};
    if (result.target_.empty())
        return std::nullopt;
    const bool isDue =
            std::any_of(group.purses_.begin(), group.purses_.end(), [&](const auto &item) {
                return item.second->needsAsk(now, group.askInterval_);
            });
    if (!isDue)
        return std::nullopt;
    // Purses that would ask soon join in, so that one message serves them all.
    for (const auto &[name, purse] : group.purses_) {
        if (purse->needsAsk(now, group.askInterval_ / 2))
            result.ask_.items_.push_back(purse->lower(now));
    }
    group.hint_.clear();
    result.ask_.number_ = ++group.number_;
    group.outstanding_ = Outstanding{group.number_, now, result.target_};
    group.notBefore_ = now + settings_.minAskInterval_;
    ++counts_.asks_;
    return result;
}

void Wallet::onAnswer(const Answer &answer, base::Millis now)
{
    if (answer.group_ >= groupCount)
        return;
    auto &group = groups_[answer.group_];
    if (!group.outstanding_ || group.outstanding_->number_ != answer.number_)
        return;
    const auto ask = *std::exchange(group.outstanding_, std::nullopt);
    if (const auto *granted = std::get_if<Granted>(&answer.body_))
        return onGranted(group, ask, *granted, now);
    onNoGrant(group, now);
    const auto &hint = std::get<NotAllotter>(answer.body_).hint_;
    if (hint != ask.target_)
        group.hint_ = hint;
}

void Wallet::onAllotter(std::uint32_t group, const std::string &daemon)
{
    if (auto &state = groups_.at(group); state.allotter_ != daemon || state.silentSince_)
        state.hint_ = daemon;
}

void Wallet::onGranted(GroupState &group, const Outstanding &ask, const Granted &granted,
                       base::Millis now)
{
    group.allotter_ = ask.target_;
    group.attempt_ = 0;
    group.answeredAt_ = now;
    group.silentSince_.reset();
    group.askInterval_ = std::max(granted.nextAskIn_, settings_.minAskInterval_);
    for (const auto &grant : granted.grants_) {
        auto *purse = find(grant.customer_);
        if (!purse)
            continue;
        purse->apply(grant, ask.number_, ask.sentAt_, granted.reserveAfter(), now);
        if (grant.forHeld_ > 0 && grant.dryFor_ == base::Millis() && purse->held() > grant.forHeld_)
            group.notBefore_ = now;
    }
    ++counts_.grants_;
}

void Wallet::onFailure(std::uint32_t group, std::uint64_t number, base::Millis now)
{
    auto &state = groups_.at(group);
    if (state.outstanding_ && state.outstanding_->number_ == number)
        onNoGrant(state, now);
}

void Wallet::onNoGrant(GroupState &group, base::Millis now)
{
    group.outstanding_.reset();
    ++group.attempt_;
    ++counts_.failedAsks_;
    if (!group.silentSince_)
        group.silentSince_ = now;
    if (group.attempt_ % (maxCandidates + 1) == 0)
        group.notBefore_ = now + retryDelay;
    // Parts in use are asked for again at once.
    for (const auto &[name, purse] : group.purses_)
        purse->askAgain();
}

std::string Wallet::allotterOf(std::uint32_t group, base::Millis now) const
{
    const auto &state = groups_.at(group);
    const bool isRecent = !state.allotter_.empty() && !state.silentSince_
                          && now < state.answeredAt_ + allotterKnownFor;
    return isRecent ? state.allotter_ : std::string();
}

void Wallet::dropIdle(base::Millis now)
{
    nextDrop_ = now + dropInterval;
    for (auto &group : groups_)
        std::erase_if(group.purses_, [now](const auto &item) { return item.second->isEmpty(now); });
}

std::vector<Usage> Wallet::usage(base::Millis now) const
{
    std::vector<Usage> result;
    for (const auto &group : groups_) {
        for (const auto &[name, purse] : group.purses_)
            result.push_back(purse->usage(now));
    }
    return result;
}

} // namespace allowance

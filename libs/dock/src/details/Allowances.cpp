#include "Allowances.h"

#include <algorithm>
#include <utility>

#include <allowance/Codec.h>
#include <base/Clock.h>
#include <base/Hash.h>
#include <dock/CallerAnswer.h>
#include <dock/HeaderNames.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <net/PeerClient.h>
#include <settings/Settings.h>

#include "AllotterCandidates.h"

namespace dock::details {

namespace {

constexpr base::Millis tickInterval(50);
constexpr base::Millis useCheckInterval(1000);

/** Claims are repeated this often while a group is asked for; one lasts much longer. */
constexpr base::Millis claimInterval(500);

/** Membership is complete enough by then that few daemons take themselves for the first. */
constexpr base::Millis firstClaimDelay(2000);

constexpr base::Millis handOverTimeout(1000);

/** As many as a daemon asks one after the other. */
constexpr std::size_t announcedTo = 3;
constexpr base::Millis spentLogInterval(10'000);
constexpr int statusOk = 200;

net::HttpResponse badRequest(const base::Error &error)
{
    return {.status_ = statusBadRequest, .body_ = error.message_ + "\n"};
}

net::HttpRequest peerMessage(const char *kind, std::string body)
{
    return {.method_ = "POST",
            .target_ = "/",
            .headers_ = {{header::kind, kind}},
            .body_ = std::move(body)};
}

} // namespace

Allowances::Allowances(net::Reactor &reactor, net::PeerClient &client,
                       const settings::Settings &settings, once::Incarnation self,
                       SendFunction sendToControlTask)
    : reactor_(reactor)
    , client_(client)
    , settings_(settingsOf(settings))
    , isSupported_(settings.platform_.has_value() && settings.mode_ != settings::Mode::Baseline)
    , self_(std::move(self))
    , sendToControlTask_(std::move(sendToControlTask))
    , groups_{GroupState{.allotter_ = allowance::Allotter(settings_)},
              GroupState{.allotter_ = allowance::Allotter(settings_)},
              GroupState{.allotter_ = allowance::Allotter(settings_)},
              GroupState{.allotter_ = allowance::Allotter(settings_)}}
{}

Allowances::~Allowances()
{
    reactor_.cancel(tickTimer_);
    reactor_.cancel(claimTimer_);
}

allowance::Settings Allowances::settingsOf(const settings::Settings &settings)
{
    return {.window_ = settings.customers_.allowanceWindow_,
            .overrun_ = settings.customers_.allowanceOverrun_,
            .slack_ = settings.customers_.allowanceSlack_};
}

std::unique_ptr<allowance::Wallet> Allowances::makeWallet() const
{
    const auto seed = base::hash64(self_.id_, self_.generation_);
    return std::make_unique<allowance::Wallet>(settings_, self_.id_, self_.generation_, seed);
}

void Allowances::configure(const model::Config &config)
{
    allowances_.clear();
    std::vector<model::Customer> customers;
    std::array<std::vector<allowance::CustomerBounds>, allowance::groupCount> bounds;
    for (const auto &[name, customer] : config.customers_) {
        if (!customer.allowance_)
            continue;
        allowances_.emplace(name, *customer.allowance_);
        customers.push_back({.name_ = name, .allowance_ = customer.allowance_});
        bounds[allowance::groupOf(name)].push_back(
                {name, allowance::Bounds::of(*customer.allowance_, settings_)});
    }
    if (!isSupported_) {
        if (!allowances_.empty() && !std::exchange(hasWarned_, true))
            events::log(events::allowancesIgnored,
                        "customers=" + std::to_string(allowances_.size()));
        allowances_.clear();
        return;
    }
    if (allowances_.empty() && !wallet_)
        return;
    if (!wallet_)
        wallet_ = makeWallet();
    wallet_->setCustomers(customers);
    const auto now = base::elapsedNow();
    for (std::uint32_t group = 0; group < groups_.size(); ++group) {
        groups_[group].hasCustomers_ = !bounds[group].empty();
        groups_[group].allotter_.setCustomers(bounds[group], now);
    }
    std::erase_if(spentLoggedAt_,
                  [this](const auto &item) { return !allowances_.contains(item.first); });
    updateCandidates();
    if (onChanged_)
        onChanged_();
}

void Allowances::setMembers(std::shared_ptr<const std::vector<model::Member>> members)
{
    members_ = std::move(members);
    updateCandidates();
}

void Allowances::setIncarnation(const once::Incarnation &self)
{
    self_ = self;
    if (!wallet_)
        return;
    wallet_ = makeWallet();
    updateCandidates();
    if (onChanged_)
        onChanged_();
}

void Allowances::updateCandidates()
{
    if (allowances_.empty() || members_ == nullptr)
        return;
    bool isFirst = false;
    for (std::uint32_t group = 0; group < groups_.size(); ++group) {
        auto candidates = allotterCandidates(group, *members_);
        if (isLeaving_)
            std::erase(candidates, self_.id_);
        auto &state = groups_[group];
        isFirst = isFirst
                  || (state.hasCustomers_ && !state.hasClaimedFirst_ && !candidates.empty()
                      && candidates.front() == self_.id_);
        state.candidates_ = candidates;
        wallet_->setCandidates(group, std::move(candidates));
    }
    if (isFirst && claimTimer_ == 0)
        claimTimer_ = reactor_.schedule(firstClaimDelay, [this] { claimAsFirst(); });
}

/** Claims the groups whose first candidate this daemon is, so that the first ask is answered. */
void Allowances::claimAsFirst()
{
    claimTimer_ = 0;
    for (std::uint32_t group = 0; group < groups_.size(); ++group) {
        auto &state = groups_[group];
        if (!state.hasCustomers_ || state.hasClaimedFirst_ || isLeaving_)
            continue;
        if (state.candidates_.empty() || state.candidates_.front() != self_.id_)
            continue;
        state.hasClaimedFirst_ = true;
        claim(group);
    }
}

void Allowances::claim(std::uint32_t group)
{
    const auto now = base::elapsedNow();
    auto &state = groups_[group];
    if (isLeaving_ || now < state.nextClaim_)
        return;
    state.nextClaim_ = now + claimInterval;
    sendToControlTask_(ClaimAuthority{group, {}});
}

const model::Allowance *Allowances::find(const std::string &customer) const
{
    if (allowances_.empty())
        return nullptr;
    const auto found = allowances_.find(customer);
    return found != allowances_.end() ? &found->second : nullptr;
}

allowance::Verdict Allowances::admit(const std::string &customer, const model::Allowance &allowance)
{
    const auto verdict = wallet_->admit(customer, allowance, base::elapsedNow());
    if (std::holds_alternative<allowance::Held>(verdict))
        ++heldCount_;
    logSpent(customer, verdict);
    scheduleTick();
    return verdict;
}

allowance::Verdict Allowances::retry(const std::string &customer)
{
    const auto verdict = wallet_->retry(customer, base::elapsedNow());
    if (!std::holds_alternative<allowance::Held>(verdict))
        --heldCount_;
    logSpent(customer, verdict);
    return verdict;
}

allowance::Verdict Allowances::giveUp(const std::string &customer)
{
    const auto verdict = wallet_->giveUp(customer, base::elapsedNow());
    --heldCount_;
    logSpent(customer, verdict);
    return verdict;
}

void Allowances::leave(const std::string &customer)
{
    wallet_->leave(customer);
    --heldCount_;
}

void Allowances::refund(const std::string &customer, base::Millis takenAt)
{
    wallet_->refund(customer, takenAt, base::elapsedNow());
}

/** Logs that a customer is over its allowance, at most once in a while for each. */
void Allowances::logSpent(const std::string &customer, const allowance::Verdict &verdict)
{
    const auto *refused = std::get_if<allowance::Refused>(&verdict);
    if (refused == nullptr || refused->reason_ != allowance::RefusalReason::Spent)
        return;
    const auto now = base::elapsedNow();
    const auto [logged, isFirst] = spentLoggedAt_.try_emplace(customer, now);
    if (!isFirst && now < logged->second + spentLogInterval)
        return;
    logged->second = now;
    const auto usage = wallet_->usage(now);
    const auto used = std::find_if(usage.begin(), usage.end(), [&customer](const auto &item) {
        return item.customer_ == customer;
    });
    std::string detail = "customer=" + customer;
    if (used != usage.end())
        detail += " demand=" + std::to_string(used->demand_);
    if (const auto *allowance = find(customer))
        detail += " ratePerSecond=" + std::to_string(allowance->ratePerSecond_)
                  + " burst=" + std::to_string(allowance->burst_);
    events::log(events::allowanceSpent, detail);
}

void Allowances::ask()
{
    if (!wallet_)
        return;
    bool hasAnswer = false;
    for (const auto &outgoing : wallet_->due(base::elapsedNow())) {
        if (outgoing.target_ == self_.id_) {
            wallet_->onAnswer(answer(outgoing.ask_), base::elapsedNow());
            hasAnswer = true;
        } else {
            send(outgoing);
        }
    }
    if (hasAnswer && onChanged_)
        onChanged_();
}

void Allowances::send(const allowance::OutgoingAsk &outgoing)
{
    const auto &content = outgoing.ask_;
    const auto *member = findMember(outgoing.target_);
    if (member == nullptr) {
        wallet_->onFailure(content.group_, content.number_, base::elapsedNow());
        return;
    }
    client_.send(member->peerAddress_, peerMessage(askKind, allowance::encode(content)),
                 settings_.askTimeout_,
                 [this, group = content.group_, number = content.number_,
                  generation = content.generation_](const net::CallResult &result) {
                     if (generation != self_.generation_)
                         return; // of a former wallet
                     onAnswered(group, number, result);
                 });
}

void Allowances::onAnswered(std::uint32_t group, std::uint64_t number,
                            const net::CallResult &result)
{
    const auto now = base::elapsedNow();
    const bool isOk = result && result->status_ == statusOk;
    if (const auto answer = allowance::decodeAnswer(isOk ? result->body_ : std::string());
        answer && answer->group_ == group && answer->number_ == number)
        wallet_->onAnswer(*answer, now);
    else
        wallet_->onFailure(group, number, now);
    if (onChanged_)
        onChanged_();
    ask();
}

const model::Member *Allowances::findMember(const std::string &id) const
{
    if (members_ == nullptr)
        return nullptr;
    const auto found =
            std::find_if(members_->begin(), members_->end(),
                         [&id](const model::Member &member) { return member.id_ == id; });
    return found != members_->end() ? &*found : nullptr;
}

net::HttpResponse Allowances::onAsk(const std::string &body)
{
    const auto ask = allowance::decodeAsk(body);
    if (!ask)
        return badRequest(ask.error());
    return {.body_ = allowance::encode(answer(*ask))};
}

allowance::Answer Allowances::answer(const allowance::Ask &ask)
{
    const auto now = base::elapsedNow();
    auto &allotter = groups_[ask.group_].allotter_;
    if (isLeaving_ || !allotter.isActive(now))
        return {ask.group_, ask.number_, notAllotter(ask)};
    claim(ask.group_);
    return {ask.group_, ask.number_, allotter.answer(ask, now)};
}

/** Claims the authority if no allotter is known here. */
allowance::NotAllotter Allowances::notAllotter(const allowance::Ask &ask)
{
    if (!wallet_ || allowances_.empty())
        return {};
    if (isLeaving_)
        return {groups_[ask.group_].successor_};
    const auto now = base::elapsedNow();
    const auto &state = groups_[ask.group_];
    const auto announced = now < state.announcedUntil_ ? state.announced_ : std::string();
    for (const auto &hint : {wallet_->allotterOf(ask.group_, now), announced}) {
        if (!hint.empty() && hint != self_.id_ && hint != ask.daemon_)
            return {hint};
    }
    claim(ask.group_);
    return {};
}

/**
 * Tells those that are asked first who the allotter is, as it may not be one of them, and where the
 * partition ends, so that one of them can take over a lease after the last announcement.
 */
void Allowances::announce(std::uint32_t group, std::uint64_t end)
{
    const auto announcement = AllotterAnnouncement{group, self_.id_, end}.encode();
    const auto &candidates = groups_[group].candidates_;
    for (std::size_t i = 0; i < std::min(announcedTo, candidates.size()); ++i) {
        const auto *member = candidates[i] == self_.id_ ? nullptr : findMember(candidates[i]);
        if (member != nullptr)
            client_.send(member->peerAddress_, announcement, settings_.askTimeout_,
                         [](const net::CallResult &) {});
    }
}

net::HttpResponse Allowances::onAnnounced(const net::HttpRequest &request)
{
    const auto announcement = AllotterAnnouncement::parse(request);
    if (!announcement)
        return {.status_ = statusBadRequest};
    onSeen(announcement->group_, announcement->id_);
    if (!isLeaving_ && announcement->end_)
        sendToControlTask_(PartitionEndHeard{announcement->group_, *announcement->end_});
    return {};
}

void Allowances::onSeen(std::uint32_t group, const std::string &id)
{
    auto &state = groups_[group];
    state.announced_ = id;
    state.announcedUntil_ = base::elapsedNow() + settings_.lease_;
}

net::HttpResponse Allowances::onHandOver(const std::string &body)
{
    auto handOver = allowance::decodeHandOver(body);
    if (!handOver)
        return badRequest(handOver.error());
    if (isLeaving_ || allowances_.empty())
        return {.status_ = statusUnavailable};
    const auto group = handOver->group_;
    const auto end = handOver->end_;
    groups_[group].received_ = std::move(*handOver);
    sendToControlTask_(ClaimAuthority{group, end});
    return {};
}

void Allowances::onTenure(const TenureChanged &change)
{
    auto &state = groups_[change.group_];
    if (isLeaving_)
        return;
    const auto now = base::elapsedNow();
    const auto tenure = change.tenure_.value_or(allowance::Tenure());
    state.allotter_.setTenure(tenure, now);
    if (!change.tenure_)
        return;
    announce(change.group_, tenure.end_);
    // The others do not tell this daemon that it is the allotter itself.
    if (wallet_)
        wallet_->onAllotter(change.group_, self_.id_);
    // The ledger is complete only if nobody has appended since the former allotter resigned.
    const auto received = std::exchange(state.received_, std::nullopt);
    if (received && tenure.fence_ == received->end_ + 1)
        state.allotter_.restore(received->customers_, now);
}

void Allowances::drain()
{
    if (std::exchange(isLeaving_, true) || !wallet_)
        return;
    const auto now = base::elapsedNow();
    for (auto &state : groups_)
        state.resigned_ = state.allotter_.resign(now);
    sendToControlTask_(ReleaseAuthority{});
    updateCandidates();
}

void Allowances::onReleased(const AuthorityReleased &released)
{
    if (members_ == nullptr || !isLeaving_)
        return;
    auto &state = groups_[released.group_];
    const auto *successor =
            state.candidates_.empty() ? nullptr : findMember(state.candidates_.front());
    if (successor == nullptr)
        return;
    state.successor_ = successor->id_;
    events::log(events::allotterHandedOver,
                "group=" + std::to_string(released.group_) + " to=" + successor->id_
                        + " customers=" + std::to_string(state.resigned_.size()));
    const allowance::HandOver handOver{released.group_, released.end_,
                                       std::exchange(state.resigned_, {})};
    client_.send(successor->peerAddress_, peerMessage(handOverKind, allowance::encode(handOver)),
                 handOverTimeout, [](const net::CallResult &) {});
}

std::optional<AllowanceStatus> Allowances::status() const
{
    if (!wallet_ || allowances_.empty())
        return std::nullopt;
    const auto now = base::elapsedNow();
    AllowanceStatus status{.counts_ = wallet_->counts(), .usage_ = wallet_->usage(now)};
    for (std::uint32_t group = 0; group < groups_.size(); ++group) {
        if (groups_[group].allotter_.isActive(now))
            status.groups_.push_back(group);
    }
    return status;
}

void Allowances::scheduleTick()
{
    if (tickTimer_ != 0)
        return;
    const auto delay = heldCount_ > 0 ? settings_.minAskInterval_ : tickInterval;
    tickTimer_ = reactor_.schedule(delay, [this] { tick(); });
}

void Allowances::tick()
{
    tickTimer_ = 0;
    ask();
    if (heldCount_ > 0 && onChanged_)
        onChanged_(); // reserve rates may have given tokens
    const auto now = base::elapsedNow();
    if (now >= nextUseCheck_) {
        nextUseCheck_ = now + useCheckInterval;
        if (wallet_->usage(now).empty())
            return;
    }
    scheduleTick();
}

} // namespace dock::details

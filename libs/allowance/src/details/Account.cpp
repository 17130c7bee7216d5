#include <details/Account.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace allowance::details {
namespace {

constexpr base::Millis sweepInterval(100);
constexpr base::Millis minDry(50);
constexpr base::Millis maxDry(1000);

/** A daemon with less demand hardly uses a reserve rate while that is valid. */
constexpr double minDemandForReserve = 1.2;

/** Demand that a stock covers, beyond one token. */
constexpr double stockSeconds = 0.25;

base::Millis seconds(double value)
{
    return base::Millis::fromMicros(static_cast<std::int64_t>(value * 1e6));
}

} // namespace

Account::Account(const Bounds &bounds, const Tenure &tenure, const Settings &settings)
    : settings_(settings)
    , bounds_(bounds)
    , tenure_(tenure)
    , refilledAt_(tenure.since_)
    , sweptAt_(tenure.since_)
{
    silentRate_ = tenure.quietUntil_ > tenure.since_ ? bounds.maxReserveRate() : 0;
}

void Account::setBounds(const Bounds &bounds, base::Millis now)
{
    refill(now);
    bounds_ = bounds;
    sweep(now);
    level_ = std::min(level_, capacity(now));
}

/** What daemons do not hold of the stored tokens may be in the bucket. */
double Account::capacity(base::Millis now)
{
    const double onTheirWay = tokensOnTheirWay(now);
    // Parts of the former allotter may be in force that this one has not heard of.
    const double room =
            isQuiet(now) ? bounds_.centralCapacity_ : bounds_.stored() - stock_ - onTheirWay;
    return std::max(0.0, room - unconfirmed_);
}

void Account::refill(base::Millis now)
{
    // Rates of daemons that fall silent are taken off from the next sweep on, so none is skipped.
    while (refilledAt_ < now) {
        const bool isSteady = holdings_.empty() && !isQuiet(refilledAt_);
        if (isSteady || refilledAt_ >= sweptAt_ + sweepInterval)
            sweep(refilledAt_);
        const auto end = isSteady ? now : std::min(now, sweptAt_ + sweepInterval);
        const double elapsed = (end - refilledAt_).fractional() / 1000;
        const double rate = std::max(0.0, bounds_.ratePerSecond_ - silentRate_);
        const double room = capacity(refilledAt_);
        const double surplus = std::max(0.0, level_ + rate * elapsed - room);
        const double replaced = std::min(surplus, unconfirmed_);
        replaceUnconfirmed(replaced);
        level_ += rate * elapsed - surplus + replaced;
        refilledAt_ = end;
    }
}

/** New tokens have taken the place of unconfirmed ones, which are lost now. */
void Account::replaceUnconfirmed(double tokens)
{
    unconfirmed_ -= tokens;
    for (auto it = holdings_.begin(); it != holdings_.end() && tokens > 0; ++it) {
        const double part = std::min(tokens, it->second.unconfirmed_);
        it->second.unconfirmed_ -= part;
        tokens -= part;
    }
}

void Account::sweep(base::Millis now)
{
    sweptAt_ = now;
    silentRate_ = reserveRate_ = stock_ = demand_ = 0;
    double reported = 0;
    std::erase_if(holdings_, [&](const auto &item) {
        const bool isOver = now >= item.second.expiry_;
        if (isOver)
            unconfirmed_ = std::max(0.0, unconfirmed_ - item.second.unconfirmed_);
        return isOver;
    });
    for (const auto &[holder, holding] : holdings_) {
        reserveRate_ += holding.reserveRate_;
        stock_ += holding.stock_;
        demand_ += demandOf(holding, now);
        if (holding.isReported_)
            reported += holding.reserveRate_;
        if (holding.silentFrom_ <= now + sweepInterval)
            silentRate_ += holding.reserveRate_;
    }
    if (isQuiet(now))
        silentRate_ += std::max(0.0, bounds_.maxReserveRate() - reported);
}

double Account::demandOf(const Holding &holding, base::Millis now) const
{
    // A daemon with requests would have asked again.
    const auto silence = now - holding.askedAt_ - settings_.maxAskInterval_;
    return silence <= base::Millis() ? holding.demand_
                                     : holding.demand_ * std::exp(-silence.fractional() / 1000);
}

double Account::tokensOnTheirWay(base::Millis now)
{
    for (; !onTheirWay_.empty() && onTheirWay_.front().until_ <= now; onTheirWay_.pop_front()) {
        const auto &entry = onTheirWay_.front();
        if (entry.to_ == nullptr)
            continue;
        entry.to_->unconfirmed_ += entry.tokens_;
        unconfirmed_ += entry.tokens_;
    }
    double sum = 0;
    for (const auto &entry : onTheirWay_)
        sum += entry.tokens_;
    return sum;
}

/** Ends the wait for what happened to the last tokens for held requests; returns their number. */
double Account::takeBack(Holding &holding, base::Millis now)
{
    const double before = tokensOnTheirWay(now);
    std::erase_if(onTheirWay_, [&](const auto &entry) { return entry.to_ == &holding; });
    const double unconfirmed = std::exchange(holding.unconfirmed_, 0);
    unconfirmed_ = std::max(0.0, unconfirmed_ - unconfirmed);
    return before - tokensOnTheirWay(now) + unconfirmed;
}

void Account::book(Holding &holding, const Ask &ask, const AskItem &item, base::Millis now)
{
    const bool wasAnswered = item.answeredNumber_ == holding.number_ && holding.isReported_;
    // A daemon that asks has taken what arrived, put it in stock, or will not take it.
    const double tokens = takeBack(holding, now);
    if (!wasAnswered && item.answeredNumber_ < holding.number_)
        level_ += holding.lastRefill_ + tokens;
    else if (wasAnswered)
        level_ += std::min(item.returned_, std::max(0.0, holding.stock_ - item.stock_));
    // The daemon uses its reserve rate only after a time without answers.
    holding.silentFrom_ = wasAnswered ? holding.reserveFrom_ : now;
    holding.reserveRate_ = item.reserveRate_;
    holding.stock_ = item.stock_;
    holding.demand_ = item.demand_;
    holding.askedAt_ = now;
    holding.number_ = ask.number_;
    holding.expiry_ = now + settings_.partValidity_;
    holding.isReported_ = true;
}

Grant Account::grant(const Ask &ask, const AskItem &item, base::Millis reserveAfter,
                     base::Millis now)
{
    refill(now);
    auto &holding = holdings_[Holder(ask.daemon_, ask.generation_)];
    reserveRate_ -= holding.reserveRate_;
    stock_ -= holding.stock_;
    demand_ = std::max(0.0, demand_ - demandOf(holding, now));
    book(holding, ask, item, now);
    stock_ += holding.stock_;
    level_ = std::min(level_, capacity(now));
    stock_ -= holding.stock_;
    holding.reserveFrom_ = now + reserveAfter;
    const double share =
            std::min(1.0, bounds_.ratePerSecond_ / std::max(1e-9, demand_ + item.demand_));
    Grant grant{.customer_ = item.customer_};
    grant.isOverAllowance_ = share < 1;
    const double wantedStock = item.demand_ > 0 ? 1 + item.demand_ * share * stockSeconds : 0;
    if (isQuiet(now)) {
        grant.stock_ = item.stock_;
        grant.reserveRate_ = item.reserveRate_;
    } else {
        grant.stock_ = std::clamp(bounds_.maxStock() - stock_, 0.0, wantedStock);
        if (grant.stock_ < 1) {
            grant.stock_ = 0;
        } else if (item.demand_ >= minDemandForReserve) {
            const double fair = bounds_.maxReserveRate() * item.demand_
                                / std::max(1e-9, demand_ + item.demand_);
            grant.reserveRate_ = std::clamp(bounds_.maxReserveRate() - reserveRate_, 0.0, fair);
        }
    }
    grantTokens(holding, item, grant, now);
    // Until the daemon's next ask it may still use its former part.
    holding.stock_ = std::max(item.stock_, grant.stock_);
    holding.reserveRate_ = std::max(item.reserveRate_, grant.reserveRate_);
    reserveRate_ += holding.reserveRate_;
    stock_ += holding.stock_;
    demand_ += holding.demand_;
    level_ = std::min(level_, capacity(now));
    if (holding.reserveRate_ > 0 && holding.silentFrom_ <= sweptAt_ + sweepInterval)
        sweep(now);
    return grant;
}

void Account::grantTokens(Holding &holding, const AskItem &item, Grant &grant, base::Millis now)
{
    double available = level_;
    if (isQuiet(now))
        available = std::clamp(bounds_.carry_ - bounds_.maxStock() - tokensOnTheirWay(now), 0.0,
                               level_);
    const auto forHeld = std::floor(std::min(available, static_cast<double>(item.held_)));
    if (forHeld >= 1) {
        grant.forHeld_ = static_cast<std::uint32_t>(forHeld);
        level_ -= forHeld;
        onTheirWay_.push_back({&holding, now + settings_.grantAge_, forHeld});
    }
    // While tokens are scarce, one in stock at an idle daemon is missing elsewhere.
    const double kept =
            grant.isOverAllowance_ && item.demand_ * stockSeconds >= 1 ? 0 : bounds_.stored() / 2;
    const double spare = level_ - kept;
    grant.refill_ = std::clamp(spare, 0.0, std::max(0.0, grant.stock_ - item.level_));
    level_ -= grant.refill_;
    holding.lastRefill_ = grant.refill_;
    if (grant.forHeld_ >= item.held_)
        return;
    // What one answer may carry is spent, the bucket is not.
    if (level_ >= 1) {
        grant.isOverAllowance_ = false;
        return;
    }
    const double rate = std::max(0.1, bounds_.ratePerSecond_ - silentRate_);
    if (!grant.isOverAllowance_) {
        grant.dryFor_ = std::clamp(seconds((1 - std::min(level_, 1.0)) / rate),
                                   settings_.minAskInterval_, maxDry);
        return;
    }
    const double ownRate = rate * item.demand_ / std::max(1e-9, demand_ + item.demand_);
    grant.dryFor_ = std::clamp(seconds(0.7 / std::max(0.1, ownRate)), minDry, maxDry);
}

void Account::restore(const CustomerState &state, base::Millis now)
{
    refill(now);
    level_ = state.level_;
    onTheirWay_.push_back({nullptr, now + settings_.grantAge_, state.onTheirWay_});
    for (const auto &part : state.parts_) {
        auto &holding = holdings_[Holder(part.daemon_, part.generation_)];
        holding.reserveRate_ = part.reserveRate_;
        holding.stock_ = part.stock_;
        holding.demand_ = part.demand_;
        holding.askedAt_ = now;
        holding.expiry_ = now + part.expiresIn_;
        holding.silentFrom_ = now;
    }
    sweep(now);
    level_ = std::min(level_, capacity(now));
}

CustomerState Account::state(const std::string &customer, base::Millis now)
{
    refill(now);
    CustomerState result{customer, level_, tokensOnTheirWay(now), {}};
    for (const auto &[holder, holding] : holdings_) {
        result.parts_.push_back({holder.first, holder.second, holding.reserveRate_, holding.stock_,
                                 holding.demand_, holding.expiry_ - now});
    }
    return result;
}

bool Account::isUnused(base::Millis now)
{
    refill(now);
    sweep(now);
    return holdings_.empty() && level_ >= bounds_.stored() && !isQuiet(now);
}

} // namespace allowance::details

#include <details/Purse.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace allowance::details {
namespace {

constexpr base::Millis demandTime(1000); ///< over which demand is averaged
constexpr base::Millis idleAfter(3000);
constexpr base::Millis minRoom(200);
constexpr base::Millis maxRoom(4000);
constexpr double minServed = 0.25; ///< requests a second, for the estimate of room
constexpr double stockSeconds = 0.25;
constexpr double minStockToPrefetch = 2;

double secondsOf(base::Millis time)
{
    return time.fractional() / 1000;
}

base::Millis millisOf(double seconds)
{
    return base::Millis::fromMicros(static_cast<std::int64_t>(seconds * 1e6));
}

double decayed(double rate, base::Millis since, base::Millis now)
{
    return now <= since ? rate
                        : rate * std::exp(-(now - since).fractional() / demandTime.fractional());
}

} // namespace

Purse::Purse(std::string customer, std::uint32_t group, const Bounds &bounds,
             const Settings &settings, std::uint64_t settledNumber)
    : customer_(std::move(customer))
    , group_(group)
    , bounds_(bounds)
    , settings_(settings)
    , answeredNumber_(settledNumber)
{}

void Purse::setBounds(const Bounds &bounds)
{
    if (bounds.ratePerSecond_ < bounds_.ratePerSecond_)
        reserveRate_ *= bounds.ratePerSecond_ / bounds_.ratePerSecond_;
    if (bounds.carry_ < bounds_.carry_) {
        stock_ *= bounds.carry_ / bounds_.carry_;
        level_ = std::min(level_, stock_);
    }
    bounds_ = bounds;
}

void Purse::advance(base::Millis now)
{
    if (now >= expiry_) {
        reserveRate_ = stock_ = level_ = 0;
    } else if (const auto from = std::max(advancedAt_, reserveFrom_); now > from) {
        level_ = std::min(stock_, level_ + reserveRate_ * secondsOf(now - from));
    }
    advancedAt_ = now;
}

double Purse::demandAt(base::Millis now) const
{
    return decayed(demand_, demandSince_, now);
}

void Purse::recordDemand(base::Millis now)
{
    demand_ = demandAt(now) + 1 / secondsOf(demandTime);
    demandSince_ = now;
    usedAt_ = now;
}

bool Purse::take(base::Millis now)
{
    advance(now);
    if (forHeld_ > 0 && now < forHeldUntil_)
        --forHeld_;
    else if (level_ >= 1)
        level_ -= 1;
    else
        return false;
    if (now >= takenSince_ + settings_.minAskInterval_) {
        takenSince_ = now;
        returnable_ = givenBack_ = 0;
    }
    if (givenBack_ > 0)
        --givenBack_;
    else
        ++returnable_;
    served_ = decayed(served_, servedSince_, now) + 1 / secondsOf(demandTime);
    servedSince_ = now;
    ++admitted_;
    return true;
}

void Purse::giveBack(base::Millis takenAt, base::Millis now)
{
    // The period alone would return a late token in place of one that is used.
    const auto first = std::min(takenAt, takenSince_);
    if (returnable_ == 0 || now >= first + settings_.minAskInterval_)
        return;
    advance(now);
    --returnable_;
    ++givenBack_;
    level_ = std::min(stock_, level_ + 1);
}

base::Millis Purse::nextRoom(base::Millis now, base::Random &random)
{
    const double rate = std::max(minServed, decayed(served_, servedSince_, now));
    nextRoom_ = std::max({nextRoom_, now + minRoom, dryUntil_}) + millisOf(1 / rate);
    nextRoom_ = std::min(nextRoom_, now + maxRoom);
    // Beyond the horizon callers would all get the same time.
    const auto wait = nextRoom_ - now;
    return wait - millisOf(secondsOf(wait) * random.unit() / 3);
}

bool Purse::isIdle(base::Millis now) const
{
    return held_ == 0 && now >= usedAt_ + idleAfter;
}

bool Purse::isEmpty(base::Millis now) const
{
    return isIdle(now) && ((stock_ == 0 && reserveRate_ == 0) || now >= expiry_);
}

bool Purse::needsAsk(base::Millis now, base::Millis interval) const
{
    if (isAskDue_)
        return !isEmpty(now);
    if (held_ > 0 && !isDry(now))
        return true;
    const auto sinceAsk = now - askedAt_;
    if (isIdle(now))
        return !isEmpty(now) && sinceAsk >= interval;
    if (reserveRate_ == 0 && usedAt_ <= askedAt_)
        return sinceAsk >= idleAfter;
    if (stock_ >= minStockToPrefetch && level_ < stock_ / 2 && !isDry(now))
        return sinceAsk >= interval / 4;
    return sinceAsk >= interval;
}

AskItem Purse::lower(base::Millis now)
{
    advance(now);
    const double demand = demandAt(now);
    const double wantedStock = isIdle(now) ? 0 : 1 + demand * stockSeconds;
    AskItem item{.customer_ = customer_, .demand_ = isIdle(now) ? 0 : demand, .held_ = held_};
    if (isIdle(now))
        reserveRate_ = 0;
    if (wantedStock < stock_ / 2)
        stock_ = wantedStock;
    if (now < forHeldUntil_)
        level_ = std::min(std::max(level_, stock_), level_ + forHeld_);
    item.returned_ = std::exchange(returned_, 0) + std::max(0.0, level_ - stock_);
    level_ = std::min(level_, stock_);
    forHeld_ = 0;
    item.reserveRate_ = reserveRate_;
    item.stock_ = stock_;
    item.level_ = level_;
    item.answeredNumber_ = answeredNumber_;
    askedAt_ = now;
    isAskDue_ = false;
    return item;
}

void Purse::apply(const Grant &grant, std::uint64_t number, base::Millis sentAt,
                  base::Millis reserveAfter, base::Millis now)
{
    advance(now);
    const double scale =
            std::min(1.0, bounds_.maxReserveRate() / std::max(1e-9, grant.reserveRate_));
    reserveRate_ = grant.reserveRate_ * scale;
    stock_ = std::min(grant.stock_, bounds_.carry_);
    const double tokens = level_ + grant.refill_;
    level_ = std::min(stock_, tokens);
    returned_ = tokens - level_;
    expiry_ = sentAt + settings_.partValidity_;
    reserveFrom_ = now + reserveAfter;
    forHeld_ = grant.forHeld_;
    forHeldUntil_ = sentAt + settings_.grantAge_;
    answeredNumber_ = number;
    isOverAllowance_ = grant.isOverAllowance_;
    dryUntil_ = now + grant.dryFor_;
    advance(now);
}

Usage Purse::usage(base::Millis now) const
{
    return {customer_,    demandAt(now), level_,   stock_,
            reserveRate_, admitted_,     refused_, isDry(now)};
}

} // namespace allowance::details

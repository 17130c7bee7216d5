#include <allowance/Allotter.h>

#include <algorithm>

#include <details/Account.h>

namespace allowance {
namespace {

/** Asks a second that one allotter should answer at most, when daemons hold parts. */
constexpr std::int64_t asksPerSecond = 600;

constexpr base::Millis forgetInterval(1000);

} // namespace

Allotter::Allotter(const Settings &settings)
    : settings_(settings)
{}

Allotter::~Allotter() = default;
Allotter::Allotter(Allotter &&) noexcept = default;
Allotter &Allotter::operator=(Allotter &&) noexcept = default;

void Allotter::setCustomers(const std::vector<CustomerBounds> &customers, base::Millis now)
{
    bounds_.clear();
    for (const auto &[customer, bounds] : customers)
        bounds_.emplace(customer, bounds);
    // The account of a customer that lost its allowance stays until its parts have expired.
    for (const auto &[customer, account] : accounts_) {
        if (const auto found = bounds_.find(customer); found != bounds_.end())
            account->setBounds(found->second, now);
    }
}

void Allotter::setTenure(const Tenure &tenure, base::Millis now)
{
    if (tenure.fence_ != tenure_.fence_) {
        accounts_.clear();
        askers_.clear();
        nextForget_ = now + forgetInterval;
    }
    tenure_ = tenure;
}

void Allotter::restore(const std::vector<CustomerState> &customers, base::Millis now)
{
    // A repeated message must not undo what was granted since the first.
    if (!accounts_.empty())
        return;
    for (const auto &state : customers) {
        if (auto *account = accountOf(state.customer_))
            account->restore(state, now);
    }
}

std::vector<CustomerState> Allotter::resign(base::Millis now)
{
    tenure_.validUntil_ = {};
    std::vector<CustomerState> result;
    for (const auto &[customer, account] : accounts_)
        result.push_back(account->state(customer, now));
    return result;
}

details::Account *Allotter::accountOf(const std::string &customer)
{
    const auto bounds = bounds_.find(customer);
    if (bounds == bounds_.end())
        return nullptr;
    if (const auto found = accounts_.find(customer); found != accounts_.end())
        return found->second.get();
    auto account = std::make_unique<details::Account>(bounds->second, tenure_, settings_);
    return accounts_.emplace(customer, std::move(account)).first->second.get();
}

Granted Allotter::answer(const Ask &ask, base::Millis now)
{
    Granted granted;
    auto &asker = askers_[ask.daemon_];
    const bool isNewer = ask.generation_ > asker.generation_
                         || (ask.generation_ == asker.generation_ && ask.number_ > asker.number_);
    if (!isNewer)
        return granted;
    asker = {ask.generation_, ask.number_, now};
    forgetSilentDaemons(now);
    granted.nextAskIn_ = std::clamp(
            base::Millis(static_cast<std::int64_t>(askers_.size()) * 1000 / asksPerSecond),
            settings_.askInterval_, settings_.maxAskInterval_);
    for (const auto &item : ask.items_) {
        if (auto *account = accountOf(item.customer_))
            granted.grants_.push_back(account->grant(ask, item, granted.reserveAfter(), now));
    }
    return granted;
}

void Allotter::forgetSilentDaemons(base::Millis now)
{
    if (now < nextForget_)
        return;
    nextForget_ = now + forgetInterval;
    // An ask that is older than this may not be taken for a new one.
    const auto keep = settings_.partValidity_ * 4;
    std::erase_if(askers_, [&](const auto &item) { return now >= item.second.at_ + keep; });
    std::erase_if(accounts_, [now](const auto &item) { return item.second->isUnused(now); });
}

} // namespace allowance

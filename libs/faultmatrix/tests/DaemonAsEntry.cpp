#include <Daemon.h>

#include <allowance/Group.h>

namespace {

constexpr base::Millis askRepeatInterval(20);

once::NotRun refusalOf(const allowance::Refused &refused)
{
    const bool isSpent = refused.reason_ == allowance::RefusalReason::Spent;
    return {isSpent ? once::Reason::AllowanceSpent : once::Reason::AllowanceUnknown,
            refused.retryAfter_};
}

} // namespace

void Daemon::startAllowances()
{
    const allowance::Settings settings;
    const auto generation = incarnation().generation_;
    held_.clear();
    repeatsAsks_ = false;
    wallet_ = std::make_unique<allowance::Wallet>(settings, self_.id_, generation, seed_);
    for (std::uint32_t group = 0; group < allowance::groupCount; ++group)
        wallet_->setCandidates(group, {cluster_.members_[cluster_.allotter_].id_});
    if (id_ != cluster_.allotter_)
        return;
    allotter_ = std::make_unique<allowance::Allotter>(settings);
    std::vector<allowance::CustomerBounds> customers;
    for (const auto &[name, customer] : cluster_.config_->customers_) {
        if (customer.allowance_)
            customers.push_back({name, allowance::Bounds::of(*customer.allowance_, settings)});
    }
    allotter_->setCustomers(customers, network_.now());
    const auto quiet = generation > 1 ? settings.partValidity_ : base::Millis();
    allotter_->setTenure({generation, network_.now(), network_.now() + quiet, base::Millis::max()},
                         network_.now());
}

/** Starts the request with a token of its customer, which comes back if it does not run. */
void Daemon::startWithin(const model::Allowance &allowance, const CallerRequest &request,
                         const Respond &respond)
{
    const auto verdict = wallet_->admit(request.customer_, allowance, network_.now());
    if (!std::holds_alternative<allowance::Held>(verdict)) {
        conclude(verdict, request, respond);
        return;
    }
    held_.push_back({request, respond, network_.now() + allowance::Settings().maxHold_});
    askAllotter();
    if (!std::exchange(repeatsAsks_, true))
        repeatAsks();
}

void Daemon::conclude(const allowance::Verdict &verdict, const CallerRequest &request,
                      const Respond &respond)
{
    if (const auto *refused = std::get_if<allowance::Refused>(&verdict)) {
        ++cluster_.history_.refusedByAllowance_;
        respond(Response{refusalOf(*refused), false, {}});
        return;
    }
    accept(request, [this, respond, customer = request.customer_, takenAt = network_.now(),
                     generation = incarnation().generation_](const Response &response) {
        if (std::holds_alternative<once::NotRun>(response.outcome_)
            && generation == incarnation().generation_)
            wallet_->refund(customer, takenAt, network_.now());
        respond(response);
    });
}

/** Decides again on the requests that wait for a token. */
void Daemon::settleHeld()
{
    const auto now = network_.now();
    for (auto &held : std::exchange(held_, {})) {
        const auto &customer = held.request_.customer_;
        const auto verdict =
                now >= held.until_ ? wallet_->giveUp(customer, now) : wallet_->retry(customer, now);
        if (std::holds_alternative<allowance::Held>(verdict))
            held_.push_back(std::move(held));
        else
            conclude(verdict, held.request_, held.respond_);
    }
}

void Daemon::askAllotter()
{
    for (const auto &outgoing : wallet_->due(network_.now())) {
        const auto &ask = outgoing.ask_;
        const auto answer = std::make_shared<allowance::Answer>();
        network_.call(
                {id_, cluster_.allotter_, std::nullopt, std::nullopt,
                 allowance::Settings().askTimeout_},
                [this, ask, answer](const Respond &respond) {
                    auto &allotter = *cluster_.daemons_[cluster_.allotter_]->allotter_;
                    *answer = {ask.group_, ask.number_, allotter.answer(ask, network_.now())};
                    respond({});
                },
                [this, ask, answer](const RemoteResult &result) {
                    if (result)
                        wallet_->onAnswer(*answer, network_.now());
                    else
                        wallet_->onFailure(ask.group_, ask.number_, network_.now());
                    settleHeld();
                    askAllotter();
                });
    }
}

void Daemon::repeatAsks()
{
    settleHeld();
    askAllotter();
    repeatsAsks_ = !held_.empty();
    if (repeatsAsks_)
        network_.inProcess(id_, askRepeatInterval, [this] { repeatAsks(); });
}

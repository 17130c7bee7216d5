#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include <allowance/Ask.h>
#include <allowance/Bounds.h>
#include <allowance/CustomerState.h>
#include <allowance/Grant.h>
#include <allowance/Settings.h>
#include <allowance/Tenure.h>
#include <base/Millis.h>

namespace allowance::details {

/** One customer at its allotter: the bucket, and what daemons may hold. */
class Account
{
public:
    Account(const Bounds &bounds, const Tenure &tenure, const Settings &settings);

    void setBounds(const Bounds &bounds, base::Millis now);
    void restore(const CustomerState &state, base::Millis now);
    CustomerState state(const std::string &customer, base::Millis now);

    /** Books what the daemon says and grants what it may have. */
    Grant grant(const Ask &ask, const AskItem &item, base::Millis reserveAfter, base::Millis now);

    /** Whether dropping this account loses nothing but a full bucket. */
    bool isUnused(base::Millis now);

private:
    struct Holding
    {
        double reserveRate_ = 0; ///< upper bound of what the daemon may use
        double stock_ = 0;       ///< upper bound of what it may hold
        double demand_ = 0;
        base::Millis askedAt_;
        base::Millis expiry_;
        base::Millis silentFrom_;  ///< it may use its reserve rate from this time on
        std::uint64_t number_ = 0; ///< of its last ask
        base::Millis reserveFrom_; ///< it uses its reserve rate from then on, if it got the answer
        double lastRefill_ = 0;    ///< of its stock, granted then
        double unconfirmed_ = 0;   ///< part of Account::unconfirmed_
        bool isReported_ = false;  ///< has asked in this tenure
    };
    /** Tokens for held requests that may not have arrived. */
    struct OnTheirWay
    {
        Holding *to_ = nullptr; ///< none if granted by the former allotter
        base::Millis until_;
        double tokens_ = 0;
    };
    using Holder = std::pair<std::string, std::uint64_t>;

    void refill(base::Millis now);
    void sweep(base::Millis now);
    double demandOf(const Holding &holding, base::Millis now) const;
    bool isQuiet(base::Millis now) const { return now < tenure_.quietUntil_; }
    double capacity(base::Millis now);
    double tokensOnTheirWay(base::Millis now);
    void replaceUnconfirmed(double tokens);
    double takeBack(Holding &holding, base::Millis now);
    void book(Holding &holding, const Ask &ask, const AskItem &item, base::Millis now);
    void grantTokens(Holding &holding, const AskItem &item, Grant &grant, base::Millis now);

    Settings settings_;
    Bounds bounds_;
    Tenure tenure_;
    double level_ = 0; ///< tokens in the bucket
    base::Millis refilledAt_;
    base::Millis sweptAt_;
    double silentRate_ = 0;  ///< reserve rates that may be in use until the next sweep
    double reserveRate_ = 0; ///< sum
    double stock_ = 0;       ///< sum
    double demand_ = 0;      ///< sum
    std::map<Holder, Holding> holdings_;
    std::deque<OnTheirWay> onTheirWay_;
    /**
     * Tokens for held requests that can no longer be used, but whose daemon has not said yet
     * whether they were: it may give them back. New ones replace them once the bucket is full.
     */
    double unconfirmed_ = 0;
};

} // namespace allowance::details

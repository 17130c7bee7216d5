#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <allowance/Answer.h>
#include <allowance/Ask.h>
#include <allowance/CustomerBounds.h>
#include <allowance/CustomerState.h>
#include <allowance/Settings.h>
#include <allowance/Tenure.h>
#include <base/Millis.h>

namespace allowance {

namespace details {
class Account;
}

/**
 * Grants tokens of a group of customers to daemons, while this daemon has the authority. Keeps a
 * bucket for each customer in use and what daemons may hold. No I/O.
 *
 * The sum of what is granted never exceeds Bounds: the bucket is refilled at the customer's rate
 * minus the reserve rates of daemons that may be using them.
 */
class Allotter
{
public:
    explicit Allotter(const Settings &settings);
    ~Allotter();
    Allotter(Allotter &&) noexcept;
    Allotter &operator=(Allotter &&) noexcept;

    /** Replaces the allowances, as the configuration changed. */
    void setCustomers(const std::vector<CustomerBounds> &customers, base::Millis now);

    /** Authority begins, or is prolonged if the fence is the same. */
    void setTenure(const Tenure &tenure, base::Millis now);

    /** Takes the state of the former allotter; after setTenure(), and once only in a tenure. */
    void restore(const std::vector<CustomerState> &customers, base::Millis now);

    /** Ends the authority and returns the state for a successor. */
    std::vector<CustomerState> resign(base::Millis now);

    bool isActive(base::Millis now) const { return now < tenure_.validUntil_; }

    /** Grants for an ask; no grants if it is a repetition or older than one already answered. */
    Granted answer(const Ask &ask, base::Millis now);

    /** Number of daemons that hold parts or have asked within the validity of a part. */
    std::size_t askers() const { return askers_.size(); }

private:
    details::Account *accountOf(const std::string &customer);
    void forgetSilentDaemons(base::Millis now);

    /** The last ask of a daemon's process. */
    struct Asker
    {
        std::uint64_t generation_ = 0;
        std::uint64_t number_ = 0;
        base::Millis at_;
    };

    Settings settings_;
    Tenure tenure_;
    std::map<std::string, Bounds, std::less<>> bounds_;
    std::map<std::string, std::unique_ptr<details::Account>, std::less<>> accounts_;
    std::map<std::string, Asker, std::less<>> askers_;
    base::Millis nextForget_;
};

} // namespace allowance

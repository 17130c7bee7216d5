#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <allowance/Answer.h>
#include <allowance/Counts.h>
#include <allowance/Group.h>
#include <allowance/OutgoingAsk.h>
#include <allowance/Settings.h>
#include <allowance/Usage.h>
#include <allowance/Verdict.h>
#include <base/Millis.h>
#include <base/Random.h>
#include <model/Allowance.h>

namespace model {
struct Customer;
}

namespace allowance {

namespace details {
class Purse;
}

/**
 * One daemon's tokens of all customers in use: decides whether a request may run, and what to ask
 * of the allotters. No I/O.
 *
 * `now` is a clock that also counts pauses of the process and the machine.
 */
class Wallet
{
public:
    Wallet(const Settings &settings, std::string selfId, std::uint64_t generation,
           std::uint64_t seed);
    ~Wallet();
    Wallet(const Wallet &) = delete;
    Wallet &operator=(const Wallet &) = delete;

    /** Daemons that may be allotters of a group, best first. */
    void setCandidates(std::uint32_t group, std::vector<std::string> daemons);

    /** Adapts what is held to new allowances. */
    void setCustomers(const std::vector<model::Customer> &customers);

    /** Decides on a new request. After Held, retry(), giveUp() or leave() must follow. */
    Verdict admit(std::string_view customer, const model::Allowance &allowance, base::Millis now);

    /** Decides again on a held request. */
    Verdict retry(std::string_view customer, base::Millis now);

    /** A held request has waited for Settings::maxHold_. */
    Verdict giveUp(std::string_view customer, base::Millis now);

    /** A held request is gone. */
    void leave(std::string_view customer);

    /**
     * A request that was admitted at `takenAt` has not run. Its token comes back only within
     * Settings::minAskInterval_: later, tokens that are given back again and again would pile up.
     */
    void refund(std::string_view customer, base::Millis takenAt, base::Millis now);

    /**
     * Asks to send now: to be called after Held, at least every 50 ms, and after onAnswer() once
     * held requests were decided again, as the tokens for them end with the next ask.
     */
    std::vector<OutgoingAsk> due(base::Millis now);

    void onAnswer(const Answer &answer, base::Millis now);

    /** The daemon is the allotter of the group now, whether or not it is a candidate. */
    void onAllotter(std::uint32_t group, const std::string &daemon);

    /** An ask could not be delivered, or was not answered. */
    void onFailure(std::uint32_t group, std::uint64_t number, base::Millis now);

    /** The daemon that answered as allotter lately; empty: unknown. */
    std::string allotterOf(std::uint32_t group, base::Millis now) const;

    const Counts &counts() const { return counts_; }
    std::vector<Usage> usage(base::Millis now) const;

private:
    struct Outstanding
    {
        std::uint64_t number_ = 0;
        base::Millis sentAt_;
        std::string target_;
    };

    struct GroupState
    {
        std::map<std::string, std::unique_ptr<details::Purse>, std::less<>> purses_;
        std::vector<std::string> candidates_;
        std::string allotter_; ///< answered last
        std::string hint_;
        std::size_t attempt_ = 0; ///< since the last answer of an allotter
        std::uint64_t number_ = 0;
        std::optional<Outstanding> outstanding_;
        base::Millis notBefore_;
        base::Millis answeredAt_;
        std::optional<base::Millis> silentSince_;
        base::Millis askInterval_;
    };

    details::Purse *find(std::string_view customer);
    Verdict decide(details::Purse &purse, base::Millis now);
    Verdict refuse(details::Purse &purse, RefusalReason reason, base::Millis now);
    bool isSilent(const details::Purse &purse, base::Millis now) const;
    std::string targetOf(const GroupState &group) const;
    std::optional<OutgoingAsk> askOf(std::uint32_t index, base::Millis now);
    void onGranted(GroupState &group, const Outstanding &ask, const Granted &granted,
                   base::Millis now);
    void onNoGrant(GroupState &group, base::Millis now);
    void dropIdle(base::Millis now);

    Settings settings_;
    std::string selfId_;
    std::uint64_t generation_ = 0;
    base::Random random_;
    std::array<GroupState, groupCount> groups_;
    std::uint32_t heldCount_ = 0;
    base::Millis nextDrop_;
    Counts counts_;
};

} // namespace allowance

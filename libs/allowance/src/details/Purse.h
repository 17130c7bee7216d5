#pragma once

#include <cstdint>
#include <string>

#include <allowance/AskItem.h>
#include <allowance/Bounds.h>
#include <allowance/Grant.h>
#include <allowance/Settings.h>
#include <allowance/Usage.h>
#include <base/Millis.h>
#include <base/Random.h>

namespace allowance::details {

/** One daemon's tokens of one customer, and the customer's demand there. */
class Purse
{
public:
    /** Nothing that was granted for asks up to `settledNumber` is to be returned. */
    Purse(std::string customer, std::uint32_t group, const Bounds &bounds, const Settings &settings,
          std::uint64_t settledNumber);

    const std::string &customer() const { return customer_; }
    std::uint32_t group() const { return group_; }
    std::uint32_t held() const { return held_; }

    /** Adapts to a new allowance; what is held shrinks with it, but never grows. */
    void setBounds(const Bounds &bounds);

    void recordDemand(base::Millis now);
    bool take(base::Millis now);
    /** Gives back a token if it was taken just now; later ones would pile up. */
    void giveBack(base::Millis takenAt, base::Millis now);
    void recordRefusal() { ++refused_; }

    void hold() { ++held_; }
    void endHold() { --held_; }

    bool isDry(base::Millis now) const { return now < dryUntil_; }
    bool isOverAllowance() const { return isOverAllowance_; }

    /** When room is likely for a caller that is refused now; later for each further one. */
    base::Millis nextRoom(base::Millis now, base::Random &random);

    bool isIdle(base::Millis now) const;

    /** Whether an ask is due, with `interval` between asks that can wait. */
    bool needsAsk(base::Millis now, base::Millis interval) const;

    /** Lowers what is held to what is needed, and returns the item that says so. */
    AskItem lower(base::Millis now);

    /** The last ask had no answer; another is due at once while the customer is in use. */
    void askAgain() { isAskDue_ = true; }

    /** Takes the grant of the ask that was sent at `sentAt` with this number. */
    void apply(const Grant &grant, std::uint64_t number, base::Millis sentAt,
               base::Millis reserveAfter, base::Millis now);

    /** Nothing is held and the customer is idle. */
    bool isEmpty(base::Millis now) const;

    Usage usage(base::Millis now) const;

private:
    void advance(base::Millis now);
    double demandAt(base::Millis now) const;

    std::string customer_;
    std::uint32_t group_ = 0;
    Bounds bounds_;
    Settings settings_;

    double reserveRate_ = 0;
    double stock_ = 0;
    double level_ = 0;
    double returned_ = 0; ///< tokens that a smaller stock has no room for, until the next ask
    base::Millis advancedAt_;
    base::Millis reserveFrom_; ///< the reserve rate refills the stock from then on
    base::Millis expiry_;
    base::Millis takenSince_;
    std::uint32_t returnable_ = 0; ///< tokens taken since takenSince_, but for those given back
    std::uint32_t givenBack_ = 0;  ///< since then, and not taken again
    std::uint32_t forHeld_ = 0;
    base::Millis forHeldUntil_;

    double demand_ = 0; ///< at demandSince_
    base::Millis demandSince_;
    double served_ = 0; ///< admitted requests a second, at servedSince_
    base::Millis servedSince_;
    base::Millis usedAt_;

    std::uint32_t held_ = 0;
    bool isOverAllowance_ = false;
    base::Millis dryUntil_;
    base::Millis nextRoom_;
    base::Millis askedAt_ = base::Millis(-1'000'000);
    bool isAskDue_ = false;
    std::uint64_t answeredNumber_ = 0;
    std::uint64_t admitted_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace allowance::details

#include <configcheck/Check.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "Text.h"
#include <allowance/Bounds.h>
#include <configcheck/Draft.h>

namespace configcheck {

namespace {

constexpr double millisPerSecond = 1000;

class Checker
{
public:
    Checker(const Draft &draft, base::Millis allowanceWindow)
        : draft_(draft)
        , allowanceWindow_(allowanceWindow)
        , findings_(draft.faults_)
    {
        for (const auto &entry : draft.entries_) {
            if (const auto *service = std::get_if<model::Service>(&entry.value_))
                services_.insert(service->name_);
            else if (const auto *requestClass = std::get_if<model::RequestClass>(&entry.value_))
                addClass(*requestClass);
            else if (const auto *route = std::get_if<RouteEntry>(&entry.value_))
                longestDeadline_ = std::max(longestDeadline_, route->route_.class_.deadline_);
        }
    }

    std::vector<Finding> run()
    {
        for (const auto &entry : draft_.entries_) {
            place_ = entry.place_;
            std::visit(*this, entry.value_);
        }
        place_.clear();
        if (draft_.entries_.empty() && draft_.faults_.empty())
            warn("has no entries");
        if (draft_.requiresKeys_ && holders_.empty())
            warn("no customer has a key: all requests that are not public are refused");
        return std::move(findings_);
    }

    void operator()(const model::Service &v) { requireUnique("service", v.name_); }

    void operator()(const model::RequestClass &v)
    {
        requireUnique("class", v.name_);
        requireService(v.service_, Severity::Error);
        requireUniqueMatch({v.service_, v.method_, v.pathPrefix_},
                           "has the same service, method and path as ");
        requireRank(v.rank_);
        requireDeadline(v.deadline_);
    }

    void operator()(const RouteEntry &v)
    {
        requireUnique("route", v.route_.class_.name_);
        requireUniqueMatch({v.host_, "", v.route_.class_.pathPrefix_},
                           "has the same host and path as ");
        requireTargets(v.route_.services_);
        requireRank(v.route_.class_.rank_);
        requireDeadline(v.route_.class_.deadline_);
        if (v.route_.class_.deadline_ < v.route_.targetLatency_)
            warn("the deadline of " + millisText(v.route_.class_.deadline_)
                 + " is below the target latency of " + millisText(v.route_.targetLatency_));
        if (v.route_.maxAttempts_ == 0)
            fail("allows no attempt; the number of attempts must be 1 or more");
    }

    void operator()(const model::Customer &v)
    {
        requireUnique("customer", v.name_);
        if (v.share_ == 0)
            fail("has a share of 0");
        if (v.rank_)
            requireRank(*v.rank_);
        if (draft_.requiresKeys_ && v.keys_.empty())
            warn("has no key, and requests need one: all of its requests that are not public are "
                 "refused");
        for (const auto &key : v.keys_)
            addKey(key);
        if (v.allowance_ && checkAllowance(*v.allowance_))
            checkConcurrency(v.maxConcurrent_, *v.allowance_);
    }

    void operator()(const RetryEntry &v)
    {
        const auto &className = v.tolerance_.requestClass_;
        requireUnique("retry tolerance", className);
        if (!(v.tolerance_.ratio_ >= 0 && v.tolerance_.ratio_ <= 1))
            fail("the ratio " + numberText(v.tolerance_.ratio_) + " is not 0 to 1");
        if (v.tolerance_.ratio_ == 0 && v.tolerance_.budget_ > 0)
            warn("the ratio of 0 allows none of the retries of its budget");
        const auto found = classes_.find(className);
        if (found == classes_.end())
            fail("the class " + quoted(className) + " does not exist");
        else if (!found->second->idempotent_ && !v.callsBelowOnly_ && v.tolerance_.budget_ > 0)
            fail("allows retries of the class " + quoted(className)
                 + ", whose requests run at most once");
    }

private:
    using Words = std::vector<std::string>;

    void add(Severity severity, std::string text)
    {
        findings_.push_back({severity, place_, std::move(text)});
    }
    void fail(std::string text) { add(Severity::Error, std::move(text)); }
    void warn(std::string text) { add(Severity::Warning, std::move(text)); }

    void requireUnique(const char *kind, const std::string &name)
    {
        const auto [first, isNew] = placeByName_.try_emplace({kind, name}, place_);
        if (!isNew)
            fail(std::string("the ") + kind + " " + quoted(name) + " is given twice, first at "
                 + first->second);
    }

    void requireUniqueMatch(Words match, const char *reason)
    {
        const auto [first, isNew] = placeByMatch_.try_emplace(std::move(match), place_);
        if (!isNew)
            fail(reason + first->second + ": one of the two can never match");
    }

    void requireService(const std::string &name, Severity severity)
    {
        if (!services_.contains(name))
            add(severity, "the service " + quoted(name) + " does not exist");
    }

    void requireTargets(const std::vector<model::WeightedService> &targets)
    {
        // A configuration without services leaves them to the instances that register.
        const auto severity = services_.empty() ? Severity::Warning : Severity::Error;
        std::set<std::string_view> seen;
        for (const auto &target : targets) {
            if (seen.insert(target.service_).second)
                requireService(target.service_, severity);
            else
                warn("the service " + quoted(target.service_) + " is given twice");
        }
        const auto isUnused = [](const auto &target) {
            return target.weight_ == 0;
        };
        if (std::ranges::all_of(targets, isUnused)) {
            fail("the weights of its services sum to 0");
            return;
        }
        for (const auto &target : targets) {
            if (isUnused(target))
                warn("the service " + quoted(target.service_)
                     + " has a weight of 0 and gets no requests");
        }
    }

    void requireRank(int rank)
    {
        if (rank < 0 || rank > model::RequestClass::lowestRank)
            fail("the rank " + std::to_string(rank) + " is not 0 to "
                 + std::to_string(model::RequestClass::lowestRank));
    }

    void requireDeadline(base::Millis deadline)
    {
        if (deadline <= base::Millis(0))
            fail("the deadline of " + millisText(deadline) + " is not positive");
    }

    void addClass(const model::RequestClass &requestClass)
    {
        classes_.try_emplace(requestClass.name_, &requestClass);
        longestDeadline_ = std::max(longestDeadline_, requestClass.deadline_);
    }

    void addKey(const model::KeyDigest &key)
    {
        static const auto emptyKey = model::KeyDigest::of("");
        if (key == emptyKey)
            fail("holds an empty key, which no request can carry");
        const auto [first, isNew] = holders_.try_emplace(key, place_);
        if (!isNew && first->second == place_)
            warn("the key " + shortText(key) + " is given twice");
        else if (!isNew)
            fail("the key " + shortText(key) + " is also held by " + first->second);
    }

    /** Whether the allowance is one that daemons can keep. */
    bool checkAllowance(const model::Allowance &allowance)
    {
        if (allowance.burst_ < 0)
            fail("the burst " + numberText(allowance.burst_) + " is negative");
        if (allowance.ratePerSecond_ <= 0)
            fail("the rate " + numberText(allowance.ratePerSecond_) + " is not positive");
        if (allowance.burst_ < 0 || allowance.ratePerSecond_ <= 0)
            return false;
        if (admittedWithin(allowanceWindow_, allowance) < 1)
            fail("the allowance is less than one request in " + millisText(allowanceWindow_)
                 + ", so that all may be refused");
        else
            checkBurst(allowance);
        return true;
    }

    /** Daemons keep less of the rate than was given if the burst has no room for their tokens. */
    void checkBurst(const model::Allowance &allowance)
    {
        const auto bounds = allowance::Bounds::of(allowance, {.window_ = allowanceWindow_});
        if (bounds.stored() < 1)
            warn("the burst of " + numberText(allowance.burst_)
                 + " has no room for one request: all are refused unless the settings tolerate "
                   "an excess");
        else if (bounds.ratePerSecond_ < allowance.ratePerSecond_)
            warn("the burst of " + numberText(allowance.burst_)
                 + " has no room for two requests: only "
                 + percentText(bounds.ratePerSecond_ / allowance.ratePerSecond_)
                 + " of the rate is admitted unless the settings tolerate an excess");
    }

    /** Compares a part of the requests, those at one instance, with all that are admitted. */
    void checkConcurrency(std::uint32_t maxConcurrent, const model::Allowance &allowance)
    {
        const auto time = std::max(allowanceWindow_, longestDeadline_);
        const auto admitted = admittedWithin(time, allowance);
        if (maxConcurrent > admitted)
            warn("the limit of " + std::to_string(maxConcurrent)
                 + " concurrent requests is never reached: the allowance admits "
                 + numberText(std::floor(admitted)) + " in " + millisText(time));
    }

    static double admittedWithin(base::Millis time, const model::Allowance &allowance)
    {
        return allowance.ratePerSecond_ * time.fractional() / millisPerSecond + allowance.burst_;
    }

    const Draft &draft_;
    const base::Millis allowanceWindow_;
    base::Millis longestDeadline_; ///< of all classes and routes
    std::vector<Finding> findings_;
    std::string place_; ///< of the entry that is being checked
    std::set<std::string> services_;
    std::map<std::string, const model::RequestClass *> classes_;
    std::map<std::pair<std::string, std::string>, std::string> placeByName_; ///< by kind and name
    std::map<Words, std::string> placeByMatch_;
    std::map<model::KeyDigest, std::string> holders_;
};

} // namespace

std::vector<Finding> check(const Draft &draft, base::Millis allowanceWindow)
{
    return Checker(draft, allowanceWindow).run();
}

} // namespace configcheck

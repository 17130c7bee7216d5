#include <configcheck/Compare.h>

#include <algorithm>
#include <map>
#include <set>

#include "Text.h"
#include <base/Overloaded.h>
#include <configcheck/Draft.h>

namespace configcheck {

namespace {

/** What an entry is matched by: the kind in the order of EntryValue, then its name or match. */
using Identity = std::tuple<std::size_t, std::string, std::string>;

Identity identityOf(const EntryValue &value)
{
    return std::visit(
            base::Overloaded{
                    [&](const RouteEntry &v) {
                        return Identity{value.index(), v.host_, v.route_.class_.pathPrefix_};
                    },
                    [&](const RetryEntry &v) {
                        return Identity{value.index(), v.tolerance_.requestClass_, ""};
                    },
                    [&](const auto &v) {
                        return Identity{value.index(), v.name_, ""};
                    },
            },
            value);
}

std::string titleOf(const EntryValue &value)
{
    return std::visit(
            base::Overloaded{
                    [](const model::Service &v) { return "service " + quoted(v.name_); },
                    [](const model::RequestClass &v) { return "class " + quoted(v.name_); },
                    [](const RouteEntry &v) {
                        return "route " + quoted(v.host_ + v.route_.class_.pathPrefix_);
                    },
                    [](const model::Customer &v) { return "customer " + quoted(v.name_); },
                    [](const RetryEntry &v) {
                        return "retry tolerance of " + quoted(v.tolerance_.requestClass_);
                    },
            },
            value);
}

using EntriesByIdentity = std::map<Identity, const EntryValue *>;

EntriesByIdentity indexOf(const Draft &draft)
{
    EntriesByIdentity entries;
    for (const auto &entry : draft.entries_)
        entries.try_emplace(identityOf(entry.value_), &entry.value_);
    return entries;
}

bool holds(const model::Customer &customer, const model::KeyDigest &key)
{
    return std::ranges::find(customer.keys_, key) != customer.keys_.end();
}

std::string targetsText(const std::vector<model::WeightedService> &targets)
{
    std::string text;
    for (const auto &target : targets)
        text += (text.empty() ? "" : ", ") + target.service_ + " " + std::to_string(target.weight_);
    return text;
}

class Comparer
{
public:
    Comparer(const Draft &before, const Draft &after)
        : before_(before)
        , after_(after)
    {
        for (const auto &entry : after.entries_) {
            if (const auto *customer = std::get_if<model::Customer>(&entry.value_))
                keysAfter_.insert(customer->keys_.begin(), customer->keys_.end());
        }
    }

    std::vector<Difference> run()
    {
        entry_ = "configuration";
        flag("needs keys", before_.requiresKeys_, after_.requiresKeys_,
             after_.requiresKeys_ && !before_.requiresKeys_);
        const auto before = indexOf(before_);
        const auto after = indexOf(after_);
        for (const auto &[identity, value] : before) {
            if (!after.contains(identity))
                differences_.push_back({.kind_ = Difference::Kind::Withdrawn,
                                        .entry_ = titleOf(*value),
                                        .mayRefuseCallers_ = isMissed(*value)});
        }
        for (const auto &[identity, value] : after) {
            entry_ = titleOf(*value);
            if (const auto old = before.find(identity); old == before.end())
                differences_.push_back({.kind_ = Difference::Kind::Added, .entry_ = entry_});
            else
                compareValues(*old->second, *value);
        }
        return std::move(differences_);
    }

private:
    /** Whether callers may miss a withdrawn entry. */
    bool isMissed(const EntryValue &value) const
    {
        return std::visit(base::Overloaded{
                                  [](const RetryEntry &) { return false; },
                                  [&](const model::Customer &v) {
                                      return std::ranges::any_of(v.keys_, [&](const auto &key) {
                                          return isLost(key);
                                      });
                                  },
                                  [](const auto &) { return true; },
                          },
                          value);
    }

    /** Whether no customer holds the key any more. */
    bool isLost(const model::KeyDigest &key) const { return !keysAfter_.contains(key); }

    /** Precondition: both are of one kind. */
    void compareValues(const EntryValue &before, const EntryValue &after)
    {
        std::visit(
                [&](const auto &a) {
                    compareFields(std::get<std::decay_t<decltype(a)>>(before), a);
                },
                after);
    }

    void compareFields(const model::Service &b, const model::Service &a)
    {
        number("connections", b.maxConnections_, a.maxConnections_);
    }

    void compareFields(const model::RequestClass &b, const model::RequestClass &a)
    {
        // Requests that no longer match fall to another class.
        text("service", b.service_, a.service_, true);
        text("method", b.method_, a.method_, true);
        text("path", b.pathPrefix_, a.pathPrefix_, true);
        number("rank", b.rank_, a.rank_, a.rank_ > b.rank_);
        // Requests that run at most once need a key issued by the daemon.
        flag("idempotent", b.idempotent_, a.idempotent_, !a.idempotent_);
        text("deadline", millisText(b.deadline_), millisText(a.deadline_),
             a.deadline_ < b.deadline_);
        flag("public", b.isPublic_, a.isPublic_, !a.isPublic_ && after_.requiresKeys_);
    }

    void compareFields(const RouteEntry &before, const RouteEntry &after)
    {
        const auto &b = before.route_;
        const auto &a = after.route_;
        text("name", b.class_.name_, a.class_.name_, false);
        text("services", targetsText(b.services_), targetsText(a.services_), false);
        number("rank", b.class_.rank_, a.class_.rank_, a.class_.rank_ > b.class_.rank_);
        flag("idempotent", b.class_.idempotent_, a.class_.idempotent_, false);
        text("deadline", millisText(b.class_.deadline_), millisText(a.class_.deadline_),
             a.class_.deadline_ < b.class_.deadline_);
        text("target latency", millisText(b.targetLatency_), millisText(a.targetLatency_), false);
        number("attempts", b.maxAttempts_, a.maxAttempts_);
        flag("public", b.class_.isPublic_, a.class_.isPublic_,
             !a.class_.isPublic_ && after_.requiresKeys_);
    }

    void compareFields(const model::Customer &b, const model::Customer &a)
    {
        number("share", b.share_, a.share_);
        number("concurrent requests", b.maxConcurrent_, a.maxConcurrent_,
               a.maxConcurrent_ != 0
                       && (b.maxConcurrent_ == 0 || a.maxConcurrent_ < b.maxConcurrent_));
        const auto rankText = [](const auto &rank) {
            return rank ? std::to_string(*rank) : std::string("of the class");
        };
        text("rank", rankText(b.rank_), rankText(a.rank_),
             !a.rank_ || !b.rank_ || a.rank_ > b.rank_);
        compareKeys(b, a);
        compareAllowance(b.allowance_, a.allowance_);
    }

    void compareFields(const RetryEntry &b, const RetryEntry &a)
    {
        number("budget", b.tolerance_.budget_, a.tolerance_.budget_);
        number("ratio", b.tolerance_.ratio_, a.tolerance_.ratio_);
        flag("calls below only", b.callsBelowOnly_, a.callsBelowOnly_, false);
    }

    void compareKeys(const model::Customer &b, const model::Customer &a)
    {
        for (const auto &key : b.keys_) {
            if (!holds(a, key))
                differences_.push_back({.kind_ = Difference::Kind::Withdrawn,
                                        .entry_ = entry_,
                                        .field_ = "key",
                                        .before_ = shortText(key),
                                        .mayRefuseCallers_ = isLost(key)});
        }
        for (const auto &key : a.keys_) {
            if (!holds(b, key))
                differences_.push_back({.kind_ = Difference::Kind::Added,
                                        .entry_ = entry_,
                                        .field_ = "key",
                                        .after_ = shortText(key)});
        }
    }

    void compareAllowance(const std::optional<model::Allowance> &b,
                          const std::optional<model::Allowance> &a)
    {
        const auto isLimited = [](const auto &v) {
            return v && v->ratePerSecond_ > 0;
        };
        const bool isImposed = isLimited(a) && !isLimited(b);
        const bool isLowered = isLimited(a) && isLimited(b);
        const auto field = [&](const char *name, auto member, const char *unit) {
            const auto valueText = [&](const auto &v) {
                return v ? numberText((*v).*member) + unit : std::string("no limit");
            };
            text(name, valueText(b), valueText(a),
                 isImposed || (isLowered && (*a).*member < (*b).*member));
        };
        field("rate", &model::Allowance::ratePerSecond_, " requests a second");
        field("burst", &model::Allowance::burst_, " requests");
    }

    void text(const char *field, const std::string &before, const std::string &after,
              bool mayRefuseCallers)
    {
        if (before != after)
            differences_.push_back(
                    {Difference::Kind::Changed, entry_, field, before, after, mayRefuseCallers});
    }

    void flag(const char *field, bool before, bool after, bool mayRefuseCallers)
    {
        text(field, before ? "yes" : "no", after ? "yes" : "no", mayRefuseCallers);
    }

    void number(const char *field, double before, double after, bool mayRefuseCallers = false)
    {
        text(field, numberText(before), numberText(after), mayRefuseCallers);
    }

    const Draft &before_;
    const Draft &after_;
    std::set<model::KeyDigest> keysAfter_;
    std::string entry_; ///< title of the entry that is being compared
    std::vector<Difference> differences_;
};

} // namespace

std::vector<Difference> compare(const Draft &before, const Draft &after)
{
    return Comparer(before, after).run();
}

} // namespace configcheck

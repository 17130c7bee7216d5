#include <admission/EntryLevels.h>

#include <algorithm>

namespace admission {

std::string scopeKey(const std::string &requestClass, const std::string &customer)
{
    // Neither name contains a line feed.
    return requestClass + "\n" + customer;
}

Level levelOfCallee(const AnswerLevels &levels, Level serviceLevel)
{
    return std::min(levels.downstream_, std::max(serviceLevel, levels.customer_));
}

void EntryLevels::observe(const CallScope &scope, const AnswerLevels &levels, base::Millis now)
{
    downstream_.observe(scopeKey(scope.requestClass_, scope.customer_), scope.service_,
                        levels.downstream_, now);
    customers_.observe(scopeKey(scope.service_, scope.customer_), scope.service_, levels.customer_,
                       now);
    if (levels.repeats_ != Level::all() || repeats_.size() > 0)
        repeats_.observe(scopeKey(scope.requestClass_, scope.customer_), scope.service_,
                         levels.repeats_, now);
}

bool EntryLevels::coversRepeats(const CallScope &scope, const Priority &priority,
                                base::Millis now) const
{
    return repeats_.size() == 0 || repeatLevel(scope, now).covers(priority);
}

Level EntryLevels::repeatLevel(const CallScope &scope, base::Millis now) const
{
    return repeats_.effective(scopeKey(scope.requestClass_, scope.customer_), Level::all(), now);
}

bool EntryLevels::admits(const CallScope &scope, const Priority &priority, base::Millis now) const
{
    return downstream_.admits(scopeKey(scope.requestClass_, scope.customer_), priority, now);
}

Priority EntryLevels::routingPriority(const CallScope &scope, const Priority &priority,
                                      base::Millis now) const
{
    Priority result = priority;
    if (customers_.admits(scopeKey(scope.service_, scope.customer_), priority, now))
        result.bucket_ = 0;
    return result;
}

void EntryLevels::prune(base::Millis now)
{
    downstream_.prune(now);
    customers_.prune(now);
    repeats_.prune(now);
}

} // namespace admission

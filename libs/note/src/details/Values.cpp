#include "details/Values.h"

#include <algorithm>
#include <charconv>
#include <map>

#include <base/Overloaded.h>
#include <note/Limits.h>

namespace note::details {

namespace {

constexpr base::Millis maxDeadline(3600 * 1000);
constexpr std::uint32_t maxShare = 1'000'000;
constexpr std::uint32_t maxConcurrentLimit = 1'000'000;
constexpr std::uint32_t maxBudget = 100;
constexpr double maxAllowance = 1e6;
constexpr std::size_t maxMethodBytes = 16;

constexpr std::string_view nameRequirement =
        "must be 1 to 64 letters, digits, '-', '_' or '.', starting with a letter or digit";

bool isLetterOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool isMethod(std::string_view text)
{
    return text.size() <= maxMethodBytes
           && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool isPath(std::string_view text)
{
    return !text.empty() && text.size() <= limits::pathBytes && text.front() == '/'
           && std::all_of(text.begin(), text.end(),
                          [](char c) { return c > ' ' && c <= '~' && c != '?' && c != '#'; });
}

bool hasDuplicates(std::vector<model::KeyDigest> keys)
{
    std::sort(keys.begin(), keys.end());
    return std::adjacent_find(keys.begin(), keys.end()) != keys.end();
}

class ValueChecker
{
public:
    void operator()(const model::Service &v) { name("name", v.name_); }

    void operator()(const model::RequestClass &v)
    {
        name("name", v.name_);
        name("service", v.service_);
        require(isMethod(v.method_), "match.method", "must be an HTTP method in capitals");
        require(isPath(v.pathPrefix_), "match.path",
                "must start with '/', without spaces, '?' and '#'");
        rank(v.rank_);
        require(v.deadline_ > base::Millis(0) && v.deadline_ <= maxDeadline, "deadline",
                "must be more than 0 and at most an hour");
    }

    void operator()(const model::Customer &v)
    {
        name("name", v.name_);
        require(v.share_ >= 1 && v.share_ <= maxShare, "share", "must be 1 to 1000000");
        require(v.maxConcurrent_ <= maxConcurrentLimit, "limit", "must be 0 (none) to 1000000");
        rank(v.rank_.value_or(0));
        require(v.keys_.size() <= limits::keysPerCustomer && !hasDuplicates(v.keys_), "keys",
                "must be at most 16 different keys");
        const auto allowance = v.allowance_.value_or(model::Allowance{1, 0});
        require(allowance.ratePerSecond_ > 0 && allowance.ratePerSecond_ <= maxAllowance, "rate",
                "must be more than 0 and at most 1000000 requests a second");
        require(allowance.burst_ >= 0 && allowance.burst_ <= maxAllowance, "burst",
                "must be 0 to 1000000 requests");
    }

    void operator()(const RetryRule &v)
    {
        name("class", v.tolerance_.requestClass_);
        require(v.tolerance_.budget_ <= maxBudget, "budget", "must be 0 to 100 extra attempts");
        require(v.tolerance_.ratio_ >= 0 && v.tolerance_.ratio_ <= 1, "ratio", "must be 0 to 1");
    }

    std::vector<ValueFault> faults_;

private:
    void rank(int value)
    {
        require(value >= 0 && value <= model::RequestClass::lowestRank, "rank",
                "must be 0 (matters most) to 9");
    }

    void name(const char *field, const std::string &value)
    {
        require(isValidName(value), field, std::string(nameRequirement));
    }

    void require(bool isSatisfied, const char *field, std::string message)
    {
        if (!isSatisfied)
            faults_.push_back({field, std::move(message)});
    }
};

using ChangesByKey = std::map<ItemKey, const Change *>;

bool holdsAnyOf(const model::Customer &customer, const std::vector<model::KeyDigest> &keys)
{
    return std::ranges::find_first_of(customer.keys_, keys) != customer.keys_.end();
}

const Change *find(const ChangesByKey &changes, ItemKind kind, const std::string &name)
{
    const auto it = changes.find({kind, name});
    return it == changes.end() ? nullptr : it->second;
}

std::optional<std::string> contradiction(const ChangesByKey &changes,
                                         const model::RequestClass &value)
{
    const auto *service = find(changes, ItemKind::Service, value.service_);
    if (service != nullptr && service->action_ == Action::Withdraw)
        return "refers to service \"" + value.service_ + "\", which the same note withdraws";
    return std::nullopt;
}

std::optional<std::string> contradiction(const ChangesByKey &changes, const RetryRule &value)
{
    const auto &className = value.tolerance_.requestClass_;
    const auto *change = find(changes, ItemKind::RequestClass, className);
    if (change == nullptr)
        return std::nullopt;
    if (change->action_ == Action::Withdraw)
        return "refers to class \"" + className + "\", which the same note withdraws";
    const auto &requestClass = std::get<model::RequestClass>(*change->value_);
    if (!requestClass.idempotent_ && !value.callsBelowOnly_)
        return "class \"" + className
               + "\" is not idempotent and never repeated; write `scope: calls-below` to allow "
                 "retries of the idempotent calls that it causes";
    return std::nullopt;
}

std::optional<std::string> contradiction(const ChangesByKey &changes, const model::Customer &value)
{
    if (value.keys_.empty())
        return std::nullopt;
    for (const auto &[key, change] : changes) {
        // Of two customers with the same key, the second one is reported.
        if (key.kind_ != ItemKind::Customer || key.name_ >= value.name_ || !change->value_)
            continue;
        if (holdsAnyOf(std::get<model::Customer>(*change->value_), value.keys_))
            return "has a key that " + key.text() + " has too";
    }
    return std::nullopt;
}

template<typename T>
std::optional<std::string> contradiction(const ChangesByKey &, const T &)
{
    return std::nullopt;
}

} // namespace

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= limits::nameBytes && isLetterOrDigit(text.front())
           && std::all_of(text.begin(), text.end(), [](char c) {
                  return isLetterOrDigit(c) || c == '-' || c == '_' || c == '.';
              });
}

base::Result<base::Millis> parseDuration(std::string_view text)
{
    constexpr std::int64_t millisPerSecond = 1000;
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto unit = text.substr(static_cast<std::size_t>(end - text.data()));
    if (error != std::errc() || (unit != "ms" && unit != "s"))
        return base::fail("bad-field", "must be a whole number with unit, such as 2000ms or 2s");
    if (number <= 0 || number > maxDeadline.count())
        return base::fail("bad-field", "must be more than 0 and at most an hour");
    const auto result = base::Millis(unit == "s" ? number * millisPerSecond : number);
    if (result > maxDeadline)
        return base::fail("bad-field", "must be more than 0 and at most an hour");
    return result;
}

std::vector<ValueFault> checkValue(const ItemValue &value)
{
    ValueChecker checker;
    std::visit(checker, value);
    return std::move(checker.faults_);
}

std::vector<ChangeFault> contradictions(const ReleaseNote &note)
{
    ChangesByKey changes;
    for (const auto &change : note.changes_)
        changes.emplace(change.key_, &change);
    std::vector<ChangeFault> faults;
    for (const auto &change : note.changes_) {
        if (!change.value_)
            continue;
        const auto message = std::visit(
                [&](const auto &value) { return contradiction(changes, value); }, *change.value_);
        if (message)
            faults.push_back({change.key_, *message});
    }
    return faults;
}

bool isValid(const ReleaseNote &note)
{
    if (!isValidName(note.id_) || note.changes_.empty()
        || note.changes_.size() > limits::changesPerNote)
        return false;
    for (std::size_t i = 0; i < note.changes_.size(); ++i) {
        const auto &change = note.changes_[i];
        const bool inOrder = i == 0 || note.changes_[i - 1].key_ < change.key_;
        const bool hasValue = change.value_.has_value();
        if (!inOrder || hasValue == (change.action_ == Action::Withdraw)
            || !isValidName(change.key_.name_))
            return false;
        if (hasValue
            && (keyOf(*change.value_) != change.key_ || !checkValue(*change.value_).empty()))
            return false;
    }
    return contradictions(note).empty();
}

} // namespace note::details

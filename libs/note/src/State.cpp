#include <note/State.h>

#include <algorithm>
#include <array>
#include <tuple>

#include <base/Overloaded.h>
#include <note/Limits.h>
#include <note/Record.h>

namespace note {

namespace {

const std::vector<model::KeyDigest> noKeys;

/** Whether `a` changed at a higher revision; note id and value break ties for a total order. */
bool isLater(const Item &a, const Item &b)
{
    if (a.changed_ != b.changed_)
        return a.changed_ > b.changed_;
    if (a.noteId_ != b.noteId_)
        return a.noteId_ > b.noteId_;
    return a.value_.has_value() && !b.value_.has_value();
}

/** Removes the oldest withdrawn items beyond the limit, all of one revision together. */
void pruneWithdrawnItems(State &state)
{
    std::vector<model::Revision> withdrawn;
    for (const auto &[key, item] : state.items_) {
        if (!item.value_)
            withdrawn.push_back(item.changed_);
    }
    if (withdrawn.size() > limits::withdrawnKept) {
        std::sort(withdrawn.begin(), withdrawn.end());
        state.floor_ =
                std::max(state.floor_, withdrawn[withdrawn.size() - limits::withdrawnKept - 1]);
    }
    std::erase_if(state.items_, [&](const auto &entry) {
        return !entry.second.value_ && entry.second.changed_ <= state.floor_;
    });
}

void pruneOutcomes(State &state)
{
    while (state.outcomes_.size() > limits::outcomesKept) {
        const auto oldest = std::min_element(
                state.outcomes_.begin(), state.outcomes_.end(),
                [](const auto &a, const auto &b) { return a.second.offset_ < b.second.offset_; });
        state.outcomes_.erase(oldest);
    }
}

/** Merges the items of `from` into `target`, except those that `target` has already removed. */
void mergeItems(State &target, const State &from)
{
    for (const auto &[key, item] : from.items_) {
        const auto it = target.items_.find(key);
        if (it == target.items_.end()) {
            if (item.changed_ > target.floor_)
                target.items_.emplace(key, item);
        } else if (isLater(item, it->second)) {
            it->second = item;
        }
    }
}

bool isLive(const State &state, const ItemKey &key)
{
    const auto it = state.items_.find(key);
    return it != state.items_.end() && it->second.value_;
}

std::string lastChangeText(const State &state, const ItemKey &key)
{
    const auto it = state.items_.find(key);
    return it == state.items_.end() ? std::string()
                                    : " (note \"" + it->second.noteId_ + "\", revision "
                                              + std::to_string(it->second.changed_) + ")";
}

// Rejection reasons are stored in outcomes and part of the digest of a state: a different text
// makes the digests of daemons differ.
std::optional<std::string> changeRejectionReason(const State &state, const ReleaseNote &note,
                                                 const Change &change)
{
    const auto it = state.items_.find(change.key_);
    if (it != state.items_.end() && it->second.changed_ > note.base_)
        return "conflicts with note \"" + it->second.noteId_ + "\", which touched "
               + change.key_.text() + " at revision " + std::to_string(it->second.changed_)
               + ", after this note's base " + std::to_string(note.base_);
    const bool live = isLive(state, change.key_);
    if (change.action_ == Action::Add && live)
        return change.key_.text() + " is there already" + lastChangeText(state, change.key_);
    if (change.action_ != Action::Add && !live)
        return change.key_.text() + " is not there" + lastChangeText(state, change.key_);
    return std::nullopt;
}

void applyChanges(State &state, const ReleaseNote &note, model::Revision revision)
{
    for (const auto &change : note.changes_)
        state.items_[change.key_] = Item{revision, note.id_, change.value_};
    state.revision_ = revision;
}

std::optional<std::string> referenceRejectionReason(const State &state, const Item &item)
{
    const auto check = base::Overloaded{
            [&](const model::RequestClass &v) -> std::optional<std::string> {
                const ItemKey service{ItemKind::Service, v.service_};
                if (isLive(state, service))
                    return std::nullopt;
                return "class \"" + v.name_ + "\" (note \"" + item.noteId_ + "\") names "
                       + service.text() + ", which is not there" + lastChangeText(state, service);
            },
            [&](const RetryRule &v) -> std::optional<std::string> {
                const ItemKey key{ItemKind::RequestClass, v.tolerance_.requestClass_};
                if (!isLive(state, key))
                    return "a retry tolerance (note \"" + item.noteId_ + "\") names " + key.text()
                           + ", which is not there" + lastChangeText(state, key);
                const auto &requestClass =
                        std::get<model::RequestClass>(*state.items_.at(key).value_);
                if (!requestClass.idempotent_ && !v.callsBelowOnly_)
                    return key.text()
                           + " is not idempotent and never repeated, but has a retry "
                             "tolerance (note \""
                           + item.noteId_ + "\") without `scope: calls-below`";
                return std::nullopt;
            },
            [](const auto &) -> std::optional<std::string> { return std::nullopt; },
    };
    return item.value_ ? std::visit(check, *item.value_) : std::nullopt;
}

/** Whether a customer of the note holds a key that another customer in the state has. */
std::optional<std::string> sharedKeyRejectionReason(const State &state, const ReleaseNote &note)
{
    std::map<model::KeyDigest, std::string> newHolders;
    for (const auto &change : note.changes_) {
        const auto *customer =
                change.value_ ? std::get_if<model::Customer>(&*change.value_) : nullptr;
        for (const auto &key : customer != nullptr ? customer->keys_ : noKeys)
            newHolders.emplace(key, customer->name_);
    }
    if (newHolders.empty())
        return std::nullopt;
    for (const auto &[key, item] : state.items_) {
        const auto *customer = item.value_ ? std::get_if<model::Customer>(&*item.value_) : nullptr;
        for (const auto &digest : customer != nullptr ? customer->keys_ : noKeys) {
            const auto holder = newHolders.find(digest);
            if (holder != newHolders.end() && holder->second != customer->name_)
                return ItemKey{ItemKind::Customer, holder->second}.text() + " has a key that "
                       + key.text() + " has too" + lastChangeText(state, key);
        }
    }
    return std::nullopt;
}

std::size_t keyCountOf(const State &state)
{
    std::size_t count = 0;
    for (const auto &[key, item] : state.items_) {
        const auto *customer = item.value_ ? std::get_if<model::Customer>(&*item.value_) : nullptr;
        count += customer != nullptr ? customer->keys_.size() : 0;
    }
    return count;
}

std::optional<std::string> keyCountRejectionReason(const State &before, const State &after)
{
    const auto count = keyCountOf(after);
    if (count > limits::keys)
        return "there would be more than " + std::to_string(limits::keys) + " keys of customers";
    // Requests need a key while any customer has one.
    if (count == 0 && keyCountOf(before) > 0)
        return "no customer would have a key, and all requests would be served without one; give "
               "one of them a new key instead";
    return std::nullopt;
}

std::optional<std::string> sizeRejectionReason(const State &state)
{
    static constexpr std::array<std::size_t, itemKindCount> limit{
            limits::services, limits::classes, limits::customers, limits::classes};
    std::array<std::size_t, itemKindCount> count{};
    for (const auto &[key, item] : state.items_) {
        if (item.value_)
            ++count.at(static_cast<std::size_t>(key.kind_));
    }
    for (std::size_t i = 0; i < limit.size(); ++i) {
        if (count.at(i) > limit.at(i))
            return "there would be more than " + std::to_string(limit.at(i))
                   + " items of one kind (" + ItemKey{static_cast<ItemKind>(i), "..."}.text() + ")";
    }
    return std::nullopt;
}

} // namespace

model::Config configOf(const State &state)
{
    model::Config config;
    config.revision_ = state.revision_;
    const auto add = base::Overloaded{
            [&](const model::Service &v) { config.services_.emplace(v.name_, v); },
            [&](const model::RequestClass &v) { config.classes_.emplace(v.name_, v); },
            [&](const model::Customer &v) { config.addCustomer(v); },
            [&](const RetryRule &v) {
                config.retryTolerances_.emplace(v.tolerance_.requestClass_, v.tolerance_);
            },
    };
    for (const auto &[key, item] : state.items_) {
        if (item.value_)
            std::visit(add, *item.value_);
    }
    return config;
}

State merge(const State &a, const State &b)
{
    State result;
    result.revision_ = std::max(a.revision_, b.revision_);
    result.nextOffset_ = std::max(a.nextOffset_, b.nextOffset_);
    // Items that one state has withdrawn and removed must not return from the other state.
    const auto withoutPrunedItems = [](const State &state, const State &other) {
        State remaining = state;
        std::erase_if(remaining.items_, [&](const auto &entry) {
            return entry.second.changed_ <= other.floor_ && !other.items_.contains(entry.first);
        });
        return remaining;
    };
    result.items_ = withoutPrunedItems(a, b).items_;
    mergeItems(result, withoutPrunedItems(b, a));
    result.floor_ = std::max(a.floor_, b.floor_);
    pruneWithdrawnItems(result);
    result.outcomes_ = a.outcomes_;
    for (const auto &[id, outcome] : b.outcomes_) {
        auto &merged = result.outcomes_[id];
        merged = std::max(merged, outcome);
    }
    pruneOutcomes(result);
    return result;
}

std::optional<std::string> rejectionReason(const State &state, const ReleaseNote &note)
{
    if (note.base_ > state.revision_)
        return "its base " + std::to_string(note.base_) + " is above the revision "
               + std::to_string(state.revision_) + " then in force";
    if (note.base_ < state.floor_)
        return "its base " + std::to_string(note.base_)
               + " is too old to be compared; write it against the present revision";
    for (const auto &change : note.changes_) {
        if (auto reason = changeRejectionReason(state, note, change))
            return reason;
    }
    State newState = state;
    applyChanges(newState, note, state.revision_ + 1);
    for (const auto &[key, item] : newState.items_) {
        if (auto reason = referenceRejectionReason(newState, item))
            return reason;
    }
    if (auto reason = sharedKeyRejectionReason(newState, note))
        return reason;
    if (auto reason = keyCountRejectionReason(state, newState))
        return reason;
    return sizeRejectionReason(newState);
}

State applyNote(State state, std::uint64_t offset, const ReleaseNote &note)
{
    state.nextOffset_ = std::max(state.nextOffset_, offset + 1);
    if (state.outcomes_.contains(note.id_))
        return state;
    Outcome outcome{offset, true, 0, digestOf(note), ""};
    if (const auto reason = rejectionReason(state, note)) {
        outcome.accepted_ = false;
        outcome.reason_ = *reason;
        outcome.revision_ = state.revision_;
    } else {
        outcome.revision_ = std::max(offset + 1, state.revision_ + 1);
        applyChanges(state, note, outcome.revision_);
        pruneWithdrawnItems(state);
    }
    state.outcomes_.emplace(note.id_, std::move(outcome));
    pruneOutcomes(state);
    return state;
}

} // namespace note

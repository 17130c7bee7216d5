#include "details/Json.h"

#include <limits>
#include <stdexcept>

#include <base/Overloaded.h>

namespace note::details {

namespace {

using nlohmann::json;

/** Unsigned integer checked to fit into T; json::get() would truncate it silently. */
template<typename T>
T number(const json &value)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::numeric_limits<T>::max())
        throw std::out_of_range("number");
    return value.get<T>();
}

/** Fields that were added later are written only if set, which keeps the digests of old states. */
json classToJson(const model::RequestClass &v)
{
    json result{{"name", v.name_},
                {"service", v.service_},
                {"method", v.method_},
                {"path", v.pathPrefix_},
                {"rank", static_cast<std::uint32_t>(v.rank_)},
                {"idempotent", v.idempotent_},
                {"deadlineMs", static_cast<std::uint64_t>(v.deadline_.count())}};
    if (v.isPublic_)
        result["public"] = true;
    return result;
}

json customerToJson(const model::Customer &v)
{
    json result{{"name", v.name_}, {"share", v.share_}, {"limit", v.maxConcurrent_}};
    if (v.rank_)
        result["rank"] = static_cast<std::uint32_t>(*v.rank_);
    for (const auto &key : v.keys_)
        result["keys"].push_back(key.text());
    if (v.allowance_) {
        result["rate"] = v.allowance_->ratePerSecond_;
        result["burst"] = v.allowance_->burst_;
    }
    return result;
}

json valueToJson(const ItemValue &value)
{
    return std::visit(base::Overloaded{
                              [](const model::Service &v) {
                                  return json{{"name", v.name_}};
                              },
                              [](const model::RequestClass &v) { return classToJson(v); },
                              [](const model::Customer &v) { return customerToJson(v); },
                              [](const RetryRule &v) {
                                  return json{{"class", v.tolerance_.requestClass_},
                                              {"budget", v.tolerance_.budget_},
                                              {"ratio", v.tolerance_.ratio_},
                                              {"callsBelowOnly", v.callsBelowOnly_}};
                              },
                      },
                      value);
}

model::RequestClass classFromJson(const json &value)
{
    model::RequestClass result;
    result.name_ = value.at("name").get<std::string>();
    result.service_ = value.at("service").get<std::string>();
    result.method_ = value.at("method").get<std::string>();
    result.pathPrefix_ = value.at("path").get<std::string>();
    result.rank_ = number<int>(value.at("rank"));
    result.idempotent_ = value.at("idempotent").get<bool>();
    result.deadline_ = base::Millis(number<std::int32_t>(value.at("deadlineMs")));
    result.isPublic_ = value.value("public", false);
    return result;
}

model::Customer customerFromJson(const json &value)
{
    model::Customer result{.name_ = value.at("name").get<std::string>(),
                           .share_ = number<std::uint32_t>(value.at("share")),
                           .maxConcurrent_ = number<std::uint32_t>(value.at("limit"))};
    if (value.contains("rank"))
        result.rank_ = number<int>(value.at("rank"));
    for (const auto &text : value.value("keys", json::array())) {
        const auto digest = model::KeyDigest::parse(text.get_ref<const std::string &>());
        if (!digest)
            throw std::out_of_range("key");
        result.keys_.push_back(*digest);
    }
    if (value.contains("rate"))
        result.allowance_ = {value.at("rate").get<double>(), value.at("burst").get<double>()};
    return result;
}

ItemValue valueFromJson(ItemKind kind, const json &value)
{
    switch (kind) {
    case ItemKind::Service:
        return model::Service{value.at("name").get<std::string>()};
    case ItemKind::RequestClass:
        return classFromJson(value);
    case ItemKind::Customer:
        return customerFromJson(value);
    case ItemKind::Retry:
        break;
    }
    RetryRule rule;
    rule.tolerance_ = {value.at("class").get<std::string>(),
                       number<std::uint32_t>(value.at("budget")), value.at("ratio").get<double>()};
    rule.callsBelowOnly_ = value.at("callsBelowOnly").get<bool>();
    return rule;
}

ItemKey keyFromJson(const json &value)
{
    const auto kind = number<std::uint8_t>(value.at("kind"));
    if (kind >= itemKindCount)
        throw std::out_of_range("kind");
    return {static_cast<ItemKind>(kind), value.at("name").get<std::string>()};
}

json keyToJson(const ItemKey &key)
{
    return json{{"kind", static_cast<std::uint8_t>(key.kind_)}, {"name", key.name_}};
}

void addValue(json &target, const std::optional<ItemValue> &value)
{
    if (value)
        target["value"] = valueToJson(*value);
}

std::optional<ItemValue> optionalValue(ItemKind kind, const json &from)
{
    if (!from.contains("value"))
        return std::nullopt;
    return valueFromJson(kind, from.at("value"));
}

json outcomeToJson(const std::string &id, const Outcome &outcome)
{
    return json{{"id", id},
                {"offset", outcome.offset_},
                {"accepted", outcome.accepted_},
                {"revision", outcome.revision_},
                {"content", outcome.contentDigest_},
                {"reason", outcome.reason_}};
}

Outcome outcomeFromJson(const json &value)
{
    return {number<std::uint64_t>(value.at("offset")), value.at("accepted").get<bool>(),
            number<std::uint64_t>(value.at("revision")), value.at("content").get<std::string>(),
            value.at("reason").get<std::string>()};
}

} // namespace

json toJson(const ReleaseNote &note)
{
    auto changes = json::array();
    for (const auto &change : note.changes_) {
        auto entry = keyToJson(change.key_);
        entry["action"] = static_cast<std::uint8_t>(change.action_);
        addValue(entry, change.value_);
        changes.push_back(std::move(entry));
    }
    return json{{"id", note.id_}, {"base", note.base_}, {"changes", std::move(changes)}};
}

ReleaseNote noteFromJson(const json &value)
{
    ReleaseNote note{
            value.at("id").get<std::string>(), number<std::uint64_t>(value.at("base")), {}};
    for (const auto &entry : value.at("changes")) {
        const auto action = number<std::uint8_t>(entry.at("action"));
        if (action > static_cast<std::uint8_t>(Action::Withdraw))
            throw std::out_of_range("action");
        const auto key = keyFromJson(entry);
        note.changes_.push_back(
                {static_cast<Action>(action), key, optionalValue(key.kind_, entry)});
    }
    return note;
}

json toJson(const State &state)
{
    auto items = json::array();
    for (const auto &[key, item] : state.items_) {
        auto entry = keyToJson(key);
        entry["changed"] = item.changed_;
        entry["note"] = item.noteId_;
        addValue(entry, item.value_);
        items.push_back(std::move(entry));
    }
    auto outcomes = json::array();
    for (const auto &[id, outcome] : state.outcomes_)
        outcomes.push_back(outcomeToJson(id, outcome));
    return json{{"revision", state.revision_},
                {"nextOffset", state.nextOffset_},
                {"floor", state.floor_},
                {"items", std::move(items)},
                {"outcomes", std::move(outcomes)}};
}

State stateFromJson(const json &value)
{
    State state;
    state.revision_ = number<std::uint64_t>(value.at("revision"));
    state.nextOffset_ = number<std::uint64_t>(value.at("nextOffset"));
    state.floor_ = number<std::uint64_t>(value.at("floor"));
    for (const auto &entry : value.at("items")) {
        const auto key = keyFromJson(entry);
        state.items_.emplace(key, Item{number<std::uint64_t>(entry.at("changed")),
                                       entry.at("note").get<std::string>(),
                                       optionalValue(key.kind_, entry)});
    }
    for (const auto &entry : value.at("outcomes"))
        state.outcomes_.emplace(entry.at("id").get<std::string>(), outcomeFromJson(entry));
    return state;
}

} // namespace note::details

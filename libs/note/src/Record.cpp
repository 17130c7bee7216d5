#include <note/Record.h>

#include <array>
#include <cstdio>
#include <stdexcept>

#include "details/Json.h"
#include "details/Values.h"
#include <base/Hash.h>
#include <base/Overloaded.h>
#include <note/Limits.h>

namespace note {

namespace {

using nlohmann::json;

constexpr int recordVersion = 1;
constexpr std::size_t maxReasonBytes = 1024;

std::string digestOfText(const std::string &text)
{
    constexpr std::size_t digestBytes = 32;
    std::array<char, digestBytes + 1> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(base::hash64(text, 1)),
                  static_cast<unsigned long long>(base::hash64(text, 2)));
    return hex.data();
}

bool isValidItem(const ItemKey &key, const Item &item)
{
    if (!details::isValidName(key.name_) || !details::isValidName(item.noteId_))
        return false;
    return !item.value_
           || (keyOf(*item.value_) == key && details::checkValue(*item.value_).empty());
}

bool isValidState(const State &state)
{
    if (state.floor_ > state.revision_ || state.outcomes_.size() > limits::outcomesKept)
        return false;
    for (const auto &[key, item] : state.items_) {
        if (!isValidItem(key, item) || item.changed_ == 0 || item.changed_ > state.revision_)
            return false;
    }
    for (const auto &[id, outcome] : state.outcomes_) {
        if (!details::isValidName(id) || outcome.offset_ >= state.nextOffset_
            || outcome.revision_ > state.revision_ || outcome.reason_.size() > maxReasonBytes)
            return false;
    }
    return true;
}

/** Decodes a state and verifies its digest, which rejects truncated and altered states. */
State checkedState(const json &value)
{
    auto state = details::stateFromJson(value.at("state"));
    if (!isValidState(state) || digestOf(state) != value.at("digest").get<std::string>())
        throw std::out_of_range("state");
    return state;
}

json toJsonWithDigest(const State &state)
{
    return json{
            {"v", recordVersion}, {"digest", digestOf(state)}, {"state", details::toJson(state)}};
}

json parse(std::string_view text)
{
    if (text.size() > limits::recordBytes)
        throw std::out_of_range("size");
    auto value = json::parse(text);
    if (value.at("v") != recordVersion)
        throw std::out_of_range("version");
    return value;
}

Record recordFromJson(const json &value)
{
    const auto type = value.at("type").get<std::string>();
    if (type == "snapshot")
        return Snapshot{checkedState(value)};
    auto note = details::noteFromJson(value.at("note"));
    if (type != "note" || !details::isValid(note))
        throw std::out_of_range("note");
    return note;
}

} // namespace

std::string digestOf(const State &state)
{
    auto content = details::toJson(state);
    content.erase("nextOffset");
    return digestOfText(content.dump());
}

std::string digestOf(const ReleaseNote &note)
{
    return digestOfText(details::toJson(note).dump());
}

std::string encodeRecord(const Record &record)
{
    const auto value = std::visit(base::Overloaded{
                                          [](const ReleaseNote &note) {
                                              return json{{"v", recordVersion},
                                                          {"type", "note"},
                                                          {"note", details::toJson(note)}};
                                          },
                                          [](const Snapshot &snapshot) {
                                              auto result = toJsonWithDigest(snapshot.state_);
                                              result["type"] = "snapshot";
                                              return result;
                                          },
                                  },
                                  record);
    return value.dump();
}

base::Result<Record> decodeRecord(std::string_view text)
{
    try {
        return recordFromJson(parse(text));
    } catch (const std::exception &error) {
        // The JSON library throws on errors; converts them to error values.
        return base::fail("bad-record",
                          std::string("not a record of release notes: ") + error.what());
    }
}

std::string encodeState(const State &state)
{
    return toJsonWithDigest(state).dump();
}

base::Result<State> decodeState(std::string_view text)
{
    try {
        return checkedState(parse(text));
    } catch (const std::exception &error) {
        return base::fail("bad-state",
                          std::string("not a state of release notes: ") + error.what());
    }
}

} // namespace note

#include "details/ConfigFile.h"

#include <algorithm>

#include <base/Overloaded.h>
#include <nlohmann/json.hpp>
#include <note/Parse.h>
#include <note/Record.h>

namespace cli::details {

namespace {

using nlohmann::json;
using ParsedFile = tl::expected<ConfigFile, std::vector<note::Fault>>;

constexpr std::string_view byteOrderMark = "\xef\xbb\xbf"; ///< which daemons skip too
constexpr std::string_view whitespace = " \t\r\n";

ParsedFile fault(const std::string &file, int line, std::string message)
{
    return tl::unexpected(std::vector<note::Fault>{{file, line, "", std::move(message)}});
}

/** Line of the first error in the text; 0 if it is JSON. The parser's own message quotes the text.
 */
int jsonErrorLine(std::string_view text)
{
    try {
        const auto ignored = json::parse(text);
        return 0;
    } catch (const json::parse_error &error) {
        const auto read = text.substr(0, error.byte);
        return 1 + static_cast<int>(std::ranges::count(read, '\n'));
    }
}

ParsedFile parseState(std::string_view text, const std::string &file)
{
    if (auto state = note::decodeState(text))
        return std::move(*state);
    return fault(file, 0, "is not a whole state of release notes, or was altered");
}

} // namespace

ParsedFile parseConfigFile(std::string_view text, const std::string &file, const ClientHooks &hooks)
{
    if (text.starts_with(byteOrderMark))
        text.remove_prefix(byteOrderMark.size());
    const auto start = text.find_first_not_of(whitespace);
    if (start == std::string_view::npos)
        return fault(file, 0, "is empty");
    if (text[start] != '{' && text[start] != '[') {
        auto note = note::parseNote(text, file);
        if (!note)
            return tl::unexpected(std::move(note.error()));
        return std::move(*note);
    }
    if (const auto line = jsonErrorLine(text); line > 0)
        return fault(file, line, "is not valid JSON from here");
    if (json::parse(text).contains("state"))
        return parseState(text, file);
    if (!hooks.decodePlatformConfig_)
        return fault(file, 0, "is not a state of release notes");
    auto draft = hooks.decodePlatformConfig_(text);
    if (!draft)
        return fault(file, 0, draft.error().message_);
    return std::move(*draft);
}

configcheck::Draft draftOf(const note::State &state)
{
    configcheck::Draft draft{.revision_ = state.revision_,
                             .requiresKeys_ = note::configOf(state).requiresKeys_};
    const auto toEntry = base::Overloaded{
            [](const note::RetryRule &v) -> configcheck::EntryValue {
                return configcheck::RetryEntry{v.tolerance_, v.callsBelowOnly_};
            },
            [](const auto &v) -> configcheck::EntryValue { return v; },
    };
    for (const auto &[key, item] : state.items_) {
        if (item.value_)
            draft.entries_.push_back({key.text(), std::visit(toEntry, *item.value_)});
    }
    return draft;
}

note::State withChanges(note::State state, const note::ReleaseNote &note)
{
    for (const auto &change : note.changes_)
        state.items_[change.key_] = {state.revision_ + 1, note.id_, change.value_};
    ++state.revision_;
    return state;
}

} // namespace cli::details

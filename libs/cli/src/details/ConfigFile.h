#pragma once

#include <string>
#include <string_view>
#include <variant>

#include <base/Error.h>
#include <cli/ClientHooks.h>
#include <configcheck/Draft.h>
#include <note/Fault.h>
#include <note/ReleaseNote.h>
#include <note/State.h>

namespace cli::details {

/**
 * What a configuration file holds: a release note, the state of all notes, or a configuration of
 * the users' platform.
 */
using ConfigFile = std::variant<note::ReleaseNote, note::State, configcheck::Draft>;

/**
 * Recognises the form of a text and parses it: JSON objects are states or of the platform, all else
 * is a release note. Fails with the faults of the text, which don't repeat what could be a key.
 */
tl::expected<ConfigFile, std::vector<note::Fault>>
parseConfigFile(std::string_view text, const std::string &file, const ClientHooks &hooks);

/** The items that are in force in a state, as entries. */
configcheck::Draft draftOf(const note::State &state);

/** The state that a note would make of another, even if that state rejects the note. */
note::State withChanges(note::State state, const note::ReleaseNote &note);

} // namespace cli::details

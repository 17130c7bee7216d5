#pragma once

#include <string>
#include <string_view>
#include <variant>

#include <base/Error.h>
#include <note/ReleaseNote.h>
#include <note/State.h>

namespace note {

/** Record that holds the whole state of the fold, covering the offsets before its nextOffset_. */
struct Snapshot
{
    State state_;

    bool operator==(const Snapshot &) const = default;
};

/** One record of the release-note stream. */
using Record = std::variant<ReleaseNote, Snapshot>;

/** Text of a record; the same value gives the same text everywhere. */
std::string encodeRecord(const Record &record);

/** Inverse of encodeRecord(); fails with "bad-record" for anything else. */
base::Result<Record> decodeRecord(std::string_view text);

/** Text of a state, for another daemon. */
std::string encodeState(const State &state);

/** Inverse of encodeState(); fails with "bad-state" for anything else. */
base::Result<State> decodeState(std::string_view text);

/** Identifies the content of a note. */
std::string digestOf(const ReleaseNote &note);

} // namespace note

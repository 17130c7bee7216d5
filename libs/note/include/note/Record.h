#pragma once

#include <string>
#include <string_view>
#include <variant>

#include <base/Error.h>
#include <note/ReleaseNote.h>
#include <note/State.h>

namespace note {

/** Record with the full state of a fold; covers the offsets before State::nextOffset_. */
struct Snapshot
{
    State state_;

    bool operator==(const Snapshot &) const = default;
};

/** One record of the release-note stream. */
using Record = std::variant<ReleaseNote, Snapshot>;

/** Encodes a record as JSON text; the same value gives the same text at every daemon. */
std::string encodeRecord(const Record &record);

/** Inverse of encodeRecord(); fails with "bad-record" for other text. */
base::Result<Record> decodeRecord(std::string_view text);

/** Encodes a state as JSON text for another daemon. */
std::string encodeState(const State &state);

/** Inverse of encodeState(); fails with "bad-state" for other text. */
base::Result<State> decodeState(std::string_view text);

/** Identifies the content of a note; 32 hexadecimal digits. */
std::string digestOf(const ReleaseNote &note);

} // namespace note

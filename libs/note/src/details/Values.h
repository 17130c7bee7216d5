#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <base/Error.h>
#include <base/Millis.h>
#include <note/ItemValue.h>
#include <note/ReleaseNote.h>

namespace note::details {

/** What a key in a release note must be, for faults. */
constexpr std::string_view digestRequirement = "must be the digest of a key, 64 hexadecimal "
                                               "digits: make it with `fuchsiadock key digest`, "
                                               "and never write the key itself";

/** Whether the text is valid as the name of an item or the id of a note. */
bool isValidName(std::string_view text);

/** Parses "2s" or "2000ms"; fails with "bad-field" for other units and outside (0, 1 h]. */
base::Result<base::Millis> parseDuration(std::string_view text);

/** A field of an item that is out of range. */
struct ValueFault
{
    std::string field_;
    std::string message_;
};

/** All fields of the value that are out of range. */
std::vector<ValueFault> checkValue(const ItemValue &value);

/** A contradiction between the changes of one note. */
struct ChangeFault
{
    ItemKey key_;
    std::string message_;
};

/** Contradictions within the note, checked without the configuration. */
std::vector<ChangeFault> contradictions(const ReleaseNote &note);

/** Whether a note decoded from a record satisfies the rules that apply to its text. */
bool isValid(const ReleaseNote &note);

} // namespace note::details

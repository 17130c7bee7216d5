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

/** Whether the text may name an item, a note or a customer. */
bool isName(std::string_view text);

/** "2s", "2000ms"; fails with "bad-field" for other units, zero and more than an hour. */
base::Result<base::Millis> parseDuration(std::string_view text);

/** A field of an item that is out of its range. */
struct ValueFault
{
    std::string field_;
    std::string message_;
};

/** Every field of the value that is out of its range. */
std::vector<ValueFault> checkValue(const ItemValue &value);

/** A contradiction between the changes of one note. */
struct ChangeFault
{
    ItemKey key_;
    std::string message_;
};

/** Contradictions that can be seen without knowing the configuration. */
std::vector<ChangeFault> contradictions(const ReleaseNote &note);

/** Whether a note decoded from a record keeps all rules that its text had to keep. */
bool isValid(const ReleaseNote &note);

} // namespace note::details

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <note/Fault.h>
#include <note/ReleaseNote.h>
#include <tl/expected.hpp>

namespace note {

/** A release note, or the faults of its text. */
using ParseResult = tl::expected<ReleaseNote, std::vector<Fault>>;

/** Parses and validates the YAML text of a release note; `file` is only used in the faults. */
ParseResult parseNote(std::string_view text, const std::string &file);

} // namespace note

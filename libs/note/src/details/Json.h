#pragma once

#include <nlohmann/json.hpp>
#include <note/ReleaseNote.h>
#include <note/State.h>

namespace note::details {

/** Canonical JSON with sorted keys. Optional fields are present only if set. */
nlohmann::json toJson(const ReleaseNote &note);
nlohmann::json toJson(const State &state);

/** Inverse of toJson(); throws nlohmann::json::exception or std::out_of_range. */
ReleaseNote noteFromJson(const nlohmann::json &json);
State stateFromJson(const nlohmann::json &json);

} // namespace note::details

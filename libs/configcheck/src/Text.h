#pragma once

#include <string>
#include <string_view>

#include <base/Millis.h>
#include <model/KeyDigest.h>

namespace configcheck {

/** The beginning of the digest, which tells the keys of a customer apart. */
std::string shortText(const model::KeyDigest &key);

std::string quoted(std::string_view text);
std::string numberText(double value);
std::string millisText(base::Millis value);
std::string percentText(double fraction);

} // namespace configcheck

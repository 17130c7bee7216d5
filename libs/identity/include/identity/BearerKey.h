#pragma once

#include <optional>
#include <string_view>

namespace identity {

/** Key in a header field of the form "Bearer KEY"; nothing if the field has another form. */
std::optional<std::string_view> bearerKey(std::string_view field);

} // namespace identity

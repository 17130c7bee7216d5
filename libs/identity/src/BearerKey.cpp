#include <identity/BearerKey.h>

#include <algorithm>
#include <cctype>

namespace identity {

namespace {

constexpr std::string_view scheme = "bearer";

bool isScheme(std::string_view text)
{
    return std::equal(text.begin(), text.end(), scheme.begin(), scheme.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) == b;
    });
}

} // namespace

std::optional<std::string_view> bearerKey(std::string_view field)
{
    if (!isScheme(field.substr(0, scheme.size())))
        return std::nullopt;
    field.remove_prefix(scheme.size());
    const auto begin = field.find_first_not_of(' ');
    if (begin == 0 || begin == std::string_view::npos)
        return std::nullopt;
    const auto end = field.find_last_not_of(' ') + 1;
    return field.substr(begin, end - begin);
}

} // namespace identity

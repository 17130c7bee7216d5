#include <once/SubKey.h>

#include <tuple>

#include <details/TextCodec.h>

namespace once {

namespace {

using Fields = std::tuple<std::string, std::uint64_t, std::uint64_t, std::string, std::uint64_t>;

} // namespace

base::Result<SubKey> SubKey::parse(std::string_view text)
{
    if (text.size() > maxTextLength)
        return base::fail("bad-sub-key", "sub-key exceeds the maximum length");
    const auto bytes = details::fromBase64Url(text);
    const auto fields = bytes ? details::unpackFields<Fields>(*bytes) : std::nullopt;
    if (!fields)
        return base::fail("bad-sub-key",
                          "sub-key is not valid base64url or lacks the expected fields");
    SubKey subKey;
    std::tie(subKey.home_.id_, subKey.home_.generation_, subKey.number_, subKey.executor_.id_,
             subKey.executor_.generation_) = *fields;
    return subKey;
}

std::string SubKey::text() const
{
    return details::toBase64Url(details::packFields(
            Fields(home_.id_, home_.generation_, number_, executor_.id_, executor_.generation_)));
}

} // namespace once

#include <once/Key.h>

#include <tuple>

#include <base/Mac.h>
#include <details/TextCodec.h>

namespace once {

namespace {

using Fields = std::tuple<std::string, std::uint64_t, std::uint64_t, std::int64_t, std::string,
                          std::string>;

} // namespace

base::Result<Key> Key::parse(std::string_view text)
{
    if (text.size() > maxTextLength)
        return base::fail("bad-key", "key exceeds the maximum length");
    const auto bytes = details::fromBase64Url(text);
    if (!bytes || bytes->size() <= base::macBytes)
        return base::fail("bad-key", "key is not valid base64url or is too short");
    const auto packed = std::string_view(*bytes).substr(0, bytes->size() - base::macBytes);
    const auto fields = details::unpackFields<Fields>(packed);
    if (!fields)
        return base::fail("bad-key", "key does not contain the expected fields");
    Key key;
    std::int64_t expiry = 0;
    std::tie(key.home_.id_, key.home_.generation_, key.serial_, expiry, key.customer_,
             key.service_) = *fields;
    key.expiry_ = base::Millis::fromMicros(expiry);
    key.mac_ = bytes->substr(packed.size());
    return key;
}

std::string Key::text() const
{
    return details::toBase64Url(signedBytes() + mac_);
}

std::string Key::signedBytes() const
{
    return details::packFields(
            Fields(home_.id_, home_.generation_, serial_, expiry_.micros(), customer_, service_));
}

} // namespace once

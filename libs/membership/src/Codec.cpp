#include <membership/Codec.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <details/Fields.h>
#include <details/Packing.h>

namespace membership {
namespace {

constexpr std::uint8_t formatVersion = 1;
constexpr std::size_t macBytes = 16;
constexpr std::size_t maxDepth = 8;

std::string mac(const std::string &secret, std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest, &length);
    return {reinterpret_cast<const char *>(digest), macBytes};
}

template<typename Decode>
auto decodeWith(std::string_view bytes, Decode decode) -> base::Result<decltype(decode({}))>
{
    if (bytes.empty() || static_cast<std::uint8_t>(bytes.front()) != formatVersion)
        return base::fail("bad-datagram", "unsupported format version; expected 1");
    bytes.remove_prefix(1);
    const auto maxElements = bytes.size();
    const msgpack::unpack_limit limit(maxElements, maxElements, maxElements, maxElements,
                                      maxElements, maxDepth);
    try {
        const auto handle = msgpack::unpack(bytes.data(), maxElements, nullptr, nullptr, limit);
        return decode(handle.get());
    } catch (const std::exception &error) {
        return base::fail("bad-datagram", error.what());
    }
}

std::string withVersion(const msgpack::sbuffer &buffer)
{
    std::string bytes(1, static_cast<char>(formatVersion));
    bytes.append(buffer.data(), buffer.size());
    return bytes;
}

bool isNameTooLong(const std::string &name)
{
    return name.size() > details::maxNameBytes;
}

} // namespace

Codec::Codec(std::string clusterSecret)
    : clusterSecret_(std::move(clusterSecret))
{}

std::string Codec::encode(const Datagram &datagram) const
{
    msgpack::sbuffer buffer;
    details::Packer packer(&buffer);
    details::pack(packer, datagram);
    return seal(withVersion(buffer));
}

base::Result<Datagram> Codec::decode(std::string_view bytes) const
{
    return unseal(bytes).and_then([](std::string_view content) {
        return decodeWith(content, [](const msgpack::object &object) {
            return details::unpackDatagram(object);
        });
    });
}

std::string Codec::encodeState(const std::vector<Record> &records) const
{
    msgpack::sbuffer buffer;
    details::Packer packer(&buffer);
    packer.pack_array(static_cast<std::uint32_t>(records.size()));
    for (const auto &record : records)
        details::pack(packer, record);
    return seal(withVersion(buffer));
}

base::Result<std::vector<Record>> Codec::decodeState(std::string_view bytes) const
{
    return unseal(bytes).and_then([](std::string_view content) {
        return decodeWith(content, [](const msgpack::object &object) {
            if (object.type != msgpack::type::ARRAY)
                throw msgpack::type_error();
            std::vector<Record> records;
            for (std::uint32_t i = 0; i < object.via.array.size; ++i)
                records.push_back(details::unpackRecord(object.via.array.ptr[i]));
            return records;
        });
    });
}

std::string Codec::signature(std::string_view text) const
{
    if (clusterSecret_.empty())
        return {};
    static constexpr char digits[] = "0123456789abcdef";
    std::string result;
    for (const unsigned char byte : mac(clusterSecret_, text)) {
        result += digits[byte >> 4];
        result += digits[byte & 15];
    }
    return result;
}

bool Codec::isSignature(std::string_view candidate, std::string_view text) const
{
    const auto expected = signature(text);
    return candidate.size() == expected.size()
           && CRYPTO_memcmp(candidate.data(), expected.data(), expected.size()) == 0;
}

std::size_t Codec::sizeBound(const Record &record)
{
    constexpr std::size_t fixedBytes = 48;
    constexpr std::size_t liveFixedBytes = 76;
    constexpr std::size_t retiredBytes = 28;
    const auto &member = record.member_;
    const auto tombstone = fixedBytes + member.id_.size() + member.dataCentre_.size()
                           + (member.retired_ ? retiredBytes : 0);
    if (!record.isLive())
        return tombstone;
    return tombstone + liveFixedBytes + member.region_.size() + member.service_.size();
}

std::size_t Codec::overheadBound(const Datagram &datagram)
{
    constexpr std::size_t fixedBytes = 64;
    constexpr std::size_t viewBytes = 22;
    constexpr std::size_t summaryBytes = 16;
    constexpr std::size_t countBytes = 16;
    constexpr std::size_t bodyBytes = 40;
    constexpr std::size_t hashBytes = 9;
    auto bound = fixedBytes + macBytes + datagram.senderId_.size()
                 + datagram.senderDataCentre_.size() + bodyBytes + details::maxNameBytes;
    for (const auto &view : datagram.views_)
        bound += viewBytes + view.dataCentre_.size();
    for (const auto &summary : datagram.revisions_)
        bound += summaryBytes + summary.dataCentre_.size() + countBytes * summary.counts_.size();
    if (std::holds_alternative<DigestRequest>(datagram.body_))
        bound += hashBytes * digestBuckets;
    return bound;
}

base::Result<void> Codec::check(const model::Member &member)
{
    if (member.id_.empty() || isNameTooLong(member.id_))
        return base::fail("bad-member", "id must have 1 to 64 bytes");
    if (member.dataCentre_.empty() || isNameTooLong(member.dataCentre_))
        return base::fail("bad-member", "data centre must have 1 to 64 bytes");
    if (isNameTooLong(member.region_))
        return base::fail("bad-member", "region must have at most 64 bytes");
    if (isNameTooLong(member.service_))
        return base::fail("bad-member", "service must have at most 64 bytes");
    return {};
}

std::string Codec::seal(std::string bytes) const
{
    if (!clusterSecret_.empty())
        bytes += mac(clusterSecret_, bytes);
    return bytes;
}

base::Result<std::string_view> Codec::unseal(std::string_view bytes) const
{
    if (clusterSecret_.empty())
        return bytes;
    if (bytes.size() < macBytes)
        return base::fail("bad-mac", "MAC missing; the sender has no cluster secret");
    const auto content = bytes.substr(0, bytes.size() - macBytes);
    const auto expected = mac(clusterSecret_, content);
    if (CRYPTO_memcmp(expected.data(), bytes.data() + content.size(), macBytes) != 0)
        return base::fail("bad-mac", "MAC mismatch; the sender has another cluster secret");
    return content;
}

} // namespace membership

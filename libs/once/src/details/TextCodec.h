#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

namespace once::details {

/** Unpadded base64url of the bytes. */
std::string toBase64Url(std::string_view bytes);

/** Inverse of toBase64Url(); nullopt for any other text. */
std::optional<std::string> fromBase64Url(std::string_view text);

/** Packs a tuple of fields into bytes. */
template<typename Fields>
std::string packFields(const Fields &fields)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, fields);
    return std::string(buffer.data(), buffer.size());
}

/** Unpacks exactly the fields of the tuple; nullopt if the bytes hold anything else. */
template<typename Fields>
std::optional<Fields> unpackFields(std::string_view bytes)
{
    try {
        std::size_t used = 0;
        const msgpack::unpack_limit limit(16, 16, 1024, 1024, 0, 4);
        const auto handle =
                msgpack::unpack(bytes.data(), bytes.size(), used, nullptr, nullptr, limit);
        const auto &object = handle.get();
        const bool isWhole = used == bytes.size() && object.type == msgpack::type::ARRAY
                             && object.via.array.size == std::tuple_size_v<Fields>;
        if (!isWhole)
            return std::nullopt;
        return object.as<Fields>();
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    }
}

} // namespace once::details

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <base/Error.h>
#include <membership/Datagram.h>

namespace membership {

/**
 * Bytes of datagrams and of the full state: msgpack, with a MAC when a secret is configured.
 *
 * Decoding never trusts a length and fails with "bad-datagram" or "bad-mac"; fields that a later
 * version appends are ignored. Safe to use from any thread.
 */
class Codec
{
public:
    /** An empty secret turns authentication off. */
    explicit Codec(std::string clusterSecret = {});

    std::string encode(const Datagram &datagram) const;
    base::Result<Datagram> decode(std::string_view bytes) const;

    /** The full state as served by TCP. */
    std::string encodeState(const std::vector<Record> &records) const;
    base::Result<std::vector<Record>> decodeState(std::string_view bytes) const;

    /** Hexadecimal MAC of a text; empty when there is no secret. */
    std::string signature(std::string_view text) const;

    /** Whether it is the signature of the text; takes the same time for all of one length. */
    bool isSignature(std::string_view signature, std::string_view text) const;

    /** Upper bound of the bytes that a record takes in a datagram. */
    static std::size_t sizeBound(const Record &record);

    /** Upper bound of the bytes of a datagram without its records. */
    static std::size_t overheadBound(const Datagram &datagram);

    /** Fails with "bad-member" and the field when a member cannot be announced. */
    static base::Result<void> check(const model::Member &member);

private:
    std::string seal(std::string bytes) const;
    base::Result<std::string_view> unseal(std::string_view bytes) const;

    std::string clusterSecret_;
};

} // namespace membership

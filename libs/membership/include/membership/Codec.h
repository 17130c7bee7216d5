#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <base/Error.h>
#include <membership/Datagram.h>

namespace membership {

/**
 * Encodes datagrams and the full state as msgpack, with a MAC if a cluster secret is configured.
 *
 * Lengths in the input are checked before use; decoding fails with "bad-datagram" or "bad-mac".
 * Fields appended by a later version are ignored. Safe to use from any thread.
 */
class Codec
{
public:
    /** An empty secret disables authentication. */
    explicit Codec(std::string clusterSecret = {});

    std::string encode(const Datagram &datagram) const;
    base::Result<Datagram> decode(std::string_view bytes) const;

    /** The full state, as served over TCP. */
    std::string encodeState(const std::vector<Record> &records) const;
    base::Result<std::vector<Record>> decodeState(std::string_view bytes) const;

    /** Hexadecimal MAC of a text; empty when there is no secret. */
    std::string signature(std::string_view text) const;

    /** Verifies the signature of a text, in constant time for signatures of one length. */
    bool isSignature(std::string_view signature, std::string_view text) const;

    /** Upper bound of the encoded size of a record in a datagram, in bytes. */
    static std::size_t sizeBound(const Record &record);

    /** Upper bound of the encoded size of a datagram without its records, in bytes. */
    static std::size_t overheadBound(const Datagram &datagram);

    /** Fails with "bad-member" and the name of the field if the member cannot be announced. */
    static base::Result<void> check(const model::Member &member);

private:
    std::string seal(std::string bytes) const;
    base::Result<std::string_view> unseal(std::string_view bytes) const;

    std::string clusterSecret_;
};

} // namespace membership

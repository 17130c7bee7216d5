#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <membership/DataCentreView.h>
#include <membership/Record.h>
#include <membership/RevisionSummary.h>
#include <model/Address.h>

namespace membership {

/** Upper bound of the payload of a datagram; with all headers it fits into one MTU. */
inline constexpr std::size_t maxDatagramBytes = 1200;

/** Number of hash buckets, by member id, in which two views of a data centre are compared. */
inline constexpr std::size_t digestBuckets = 64;
using Digest = std::array<std::uint64_t, digestBuckets>;

/** Requests an Ack; a daemon other than the target that now owns the address sends none. */
struct Ping
{
    std::uint64_t sequence_ = 0;
    std::string targetId_;
    bool operator==(const Ping &) const = default;
};

/** Indirect probe: requests the receiver to ping the target and to forward the Ack. */
struct PingRequest
{
    std::uint64_t sequence_ = 0;
    std::string targetId_;
    model::Address target_;
    bool operator==(const PingRequest &) const = default;
};

/** Answer to a Ping, sent directly or forwarded by the receiver of a PingRequest. */
struct Ack
{
    std::uint64_t sequence_ = 0;
    std::string targetId_;
    bool operator==(const Ack &) const = default;
};

/** Only carries records. */
struct Gossip
{
    bool operator==(const Gossip &) const = default;
};

/** Requests the records of a data centre in the buckets whose hashes differ. */
struct DigestRequest
{
    std::string dataCentre_;
    Digest digest_ = {};
    bool operator==(const DigestRequest &) const = default;
};

/**
 * Answer to a DigestRequest if too many records differ for datagrams: the receiver should fetch the
 * members of the data centre from the sender over TCP.
 */
struct FetchAdvice
{
    std::string dataCentre_;
    bool operator==(const FetchAdvice &) const = default;
};

using Body = std::variant<Ping, PingRequest, Ack, Gossip, DigestRequest, FetchAdvice>;

/** One UDP message between two daemons. */
struct Datagram
{
    std::string senderId_;
    std::uint64_t senderGeneration_ = 0;
    std::string senderDataCentre_;
    model::Revision senderRevision_ = 0; ///< newest release-note revision in force at the sender
    std::vector<DataCentreView> views_;
    std::vector<RevisionSummary> revisions_;
    Body body_ = Gossip{};
    std::vector<Record> records_;

    bool operator==(const Datagram &) const = default;
};

} // namespace membership

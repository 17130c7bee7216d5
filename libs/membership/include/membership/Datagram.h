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

/** Upper bound of the payload of a datagram, below one MTU with all headers. */
inline constexpr std::size_t maxDatagramBytes = 1200;

/** Members of a data centre are compared in groups of this number, by hash of the identifier. */
inline constexpr std::size_t digestBuckets = 64;
using Digest = std::array<std::uint64_t, digestBuckets>;

/** Asks the target for an Ack; whoever else owns the address now does not answer. */
struct Ping
{
    std::uint64_t sequence_ = 0;
    std::string targetId_;
    bool operator==(const Ping &) const = default;
};

/** Asks the receiver to ping the target and to pass the Ack on. */
struct PingRequest
{
    std::uint64_t sequence_ = 0;
    std::string targetId_;
    model::Address target_;
    bool operator==(const PingRequest &) const = default;
};

/** Answers a Ping, directly or through the daemon that was asked to ping. */
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

/** Asks for the records of those groups of a data centre's members that differ. */
struct DigestRequest
{
    std::string dataCentre_;
    Digest digest_ = {};
    bool operator==(const DigestRequest &) const = default;
};

/** Too much differs for datagrams: fetch the data centre's members by TCP from the sender. */
struct FetchAdvice
{
    std::string dataCentre_;
    bool operator==(const FetchAdvice &) const = default;
};

using Body = std::variant<Ping, PingRequest, Ack, Gossip, DigestRequest, FetchAdvice>;

/** One message between two daemons. */
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

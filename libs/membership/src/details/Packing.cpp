#include <details/Packing.h>

#include <optional>

#include <base/Overloaded.h>
#include <details/Fields.h>

namespace membership::details {
namespace {

constexpr std::uint64_t liveFields = 13;
constexpr std::uint64_t tombstoneFields = 6;

void pack(Packer &packer, const model::RetiredBackend &retired)
{
    packer.pack_array(3);
    packer.pack(retired.instanceHash_);
    packer.pack(retired.startedAt_);
    packer.pack(retired.lastSequence_);
}

/** The element is left out if there is none; one of another type is a later version's. */
std::optional<model::RetiredBackend> unpackRetired(const Fields &record, std::size_t index)
{
    if (!record.has(index) || record.at(index).type != msgpack::type::ARRAY)
        return std::nullopt;
    const Fields fields(record.at(index));
    return model::RetiredBackend{.instanceHash_ = fields.number(0),
                                 .startedAt_ = fields.at(1).as<std::int64_t>(),
                                 .lastSequence_ = fields.number(2)};
}

/** The index in the variant is the kind of the datagram on the wire. */
void packBody(Packer &packer, const Body &body)
{
    packer.pack(static_cast<std::uint64_t>(body.index()));
    std::visit(base::Overloaded{
                       [&](const Ping &ping) {
                           packer.pack_array(2);
                           packer.pack(ping.sequence_);
                           packer.pack(ping.targetId_);
                       },
                       [&](const PingRequest &request) {
                           packer.pack_array(3);
                           packer.pack(request.sequence_);
                           packer.pack(request.targetId_);
                           packer.pack(request.target_.text());
                       },
                       [&](const Ack &ack) {
                           packer.pack_array(2);
                           packer.pack(ack.sequence_);
                           packer.pack(ack.targetId_);
                       },
                       [&](const Gossip &) { packer.pack_array(0); },
                       [&](const DigestRequest &request) {
                           packer.pack_array(2);
                           packer.pack(request.dataCentre_);
                           packer.pack_array(request.digest_.size());
                           for (const auto hash : request.digest_)
                               packer.pack(hash);
                       },
                       [&](const FetchAdvice &advice) {
                           packer.pack_array(1);
                           packer.pack(advice.dataCentre_);
                       },
               },
               body);
}

Digest unpackDigest(const msgpack::object &object)
{
    const Fields hashes(object);
    Digest digest;
    for (std::size_t i = 0; i < digest.size(); ++i)
        digest[i] = hashes.number(i);
    return digest;
}

Body unpackBody(std::uint64_t kind, const msgpack::object &object)
{
    const Fields fields(object);
    switch (kind) {
    case 0:
        return Ping{fields.number(0), fields.name(1)};
    case 1:
        return PingRequest{fields.number(0), fields.name(1), fields.address(2)};
    case 2:
        return Ack{fields.number(0), fields.name(1)};
    case 3:
        return Gossip{};
    case 4:
        return DigestRequest{fields.name(0), unpackDigest(fields.at(1))};
    case 5:
        return FetchAdvice{fields.name(0)};
    default:
        throw msgpack::type_error();
    }
}

RevisionSummary unpackSummary(const msgpack::object &object)
{
    const Fields fields(object);
    RevisionSummary summary{fields.name(0), fields.number(1), {}};
    for (const auto &item : fields.array(2)) {
        const Fields count(item);
        summary.counts_.emplace_back(count.number(0),
                                     static_cast<std::uint32_t>(count.number(1, UINT32_MAX)));
    }
    return summary;
}

void packLiveFields(Packer &packer, const model::Member &member)
{
    packer.pack(member.region_);
    packer.pack(member.peerAddress_.text());
    packer.pack(member.controlAddress_.text());
    packer.pack(member.service_);
    packer.pack(member.slots_);
    packer.pack(static_cast<std::uint64_t>(member.serving_));
    packer.pack(member.revision_);
}

void pack(Packer &packer, const RevisionSummary &summary)
{
    packer.pack_array(3);
    packer.pack(summary.dataCentre_);
    packer.pack(summary.version_);
    packer.pack_array(static_cast<std::uint32_t>(summary.counts_.size()));
    for (const auto &[revision, daemons] : summary.counts_) {
        packer.pack_array(2);
        packer.pack(revision);
        packer.pack(daemons);
    }
}

} // namespace

void pack(Packer &packer, const Record &record)
{
    const auto &member = record.member_;
    const auto fields = record.isLive() ? liveFields : tombstoneFields;
    packer.pack_array(static_cast<std::uint32_t>(fields + (member.retired_ ? 1 : 0)));
    packer.pack(member.id_);
    packer.pack(member.generation_);
    packer.pack(record.incarnation_);
    packer.pack(static_cast<std::uint64_t>(record.status_));
    packer.pack(record.age_.count());
    packer.pack(member.dataCentre_);
    if (record.isLive())
        packLiveFields(packer, member);
    if (member.retired_)
        pack(packer, *member.retired_);
}

void pack(Packer &packer, const Datagram &datagram)
{
    packer.pack_array(9);
    packer.pack(datagram.senderId_);
    packer.pack(datagram.senderGeneration_);
    packer.pack(datagram.senderDataCentre_);
    packer.pack(datagram.senderRevision_);
    packer.pack_array(static_cast<std::uint32_t>(datagram.views_.size()));
    for (const auto &[dataCentre, age, hash] : datagram.views_) {
        packer.pack_array(3);
        packer.pack(dataCentre);
        packer.pack(age.count());
        packer.pack(hash);
    }
    packer.pack_array(static_cast<std::uint32_t>(datagram.revisions_.size()));
    for (const auto &summary : datagram.revisions_)
        pack(packer, summary);
    packBody(packer, datagram.body_);
    packer.pack_array(static_cast<std::uint32_t>(datagram.records_.size()));
    for (const auto &record : datagram.records_)
        pack(packer, record);
}

Record unpackRecord(const msgpack::object &object)
{
    const Fields fields(object);
    Record record;
    auto &member = record.member_;
    member.id_ = fields.name(0);
    member.generation_ = fields.number(1);
    record.incarnation_ = fields.number(2);
    record.status_ = static_cast<Status>(fields.number(3, static_cast<int>(Status::Left)));
    record.age_ = fields.millis(4);
    member.dataCentre_ = fields.name(5);
    if (member.id_.empty() || member.dataCentre_.empty())
        throw msgpack::type_error();
    if (!record.isLive()) {
        member.retired_ = unpackRetired(fields, tombstoneFields);
        return record;
    }
    member.region_ = fields.name(6);
    member.peerAddress_ = fields.address(7);
    member.controlAddress_ = fields.address(8);
    member.service_ = fields.name(9);
    member.slots_ = static_cast<std::uint32_t>(fields.number(10, UINT32_MAX));
    const auto lastState = static_cast<int>(model::ServingState::Draining);
    member.serving_ = static_cast<model::ServingState>(fields.number(11, lastState));
    member.revision_ = fields.number(12);
    member.retired_ = unpackRetired(fields, liveFields);
    return record;
}

Datagram unpackDatagram(const msgpack::object &object)
{
    const Fields fields(object);
    Datagram datagram;
    datagram.senderId_ = fields.name(0);
    datagram.senderGeneration_ = fields.number(1);
    datagram.senderDataCentre_ = fields.name(2);
    datagram.senderRevision_ = fields.number(3);
    for (const auto &item : fields.array(4)) {
        const Fields view(item);
        datagram.views_.push_back({view.name(0), view.millis(1), view.number(2)});
    }
    for (const auto &item : fields.array(5))
        datagram.revisions_.push_back(unpackSummary(item));
    datagram.body_ = unpackBody(fields.number(6), fields.at(7));
    for (const auto &item : fields.array(8))
        datagram.records_.push_back(unpackRecord(item));
    return datagram;
}

} // namespace membership::details

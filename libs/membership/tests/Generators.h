#pragma once

#include <rapidcheck.h>

#include <membership/Datagram.h>

/** Random values of every kind that the codec accepts. */
namespace generators {

inline std::string name(std::size_t minLength)
{
    const auto length = *rc::gen::inRange<std::size_t>(minLength, 65);
    return *rc::gen::container<std::string>(length, rc::gen::inRange<char>('!', '~'));
}

inline model::Address address()
{
    const auto octet = [] {
        return std::to_string(*rc::gen::inRange(0, 256));
    };
    return {octet() + "." + octet() + "." + octet() + "." + octet(),
            *rc::gen::arbitrary<std::uint16_t>()};
}

inline std::uint64_t number()
{
    return *rc::gen::arbitrary<std::uint64_t>() >> *rc::gen::inRange(0, 64);
}

inline std::optional<model::RetiredBackend> retiredBackend()
{
    if (*rc::gen::arbitrary<bool>())
        return std::nullopt;
    return model::RetiredBackend{.instanceHash_ = number(),
                                 .startedAt_ = *rc::gen::arbitrary<std::int64_t>(),
                                 .lastSequence_ = number()};
}

inline membership::Record record()
{
    membership::Record record;
    auto &member = record.member_;
    member.id_ = name(1);
    member.generation_ = number();
    member.dataCentre_ = name(1);
    record.incarnation_ = number();
    record.status_ = static_cast<membership::Status>(*rc::gen::inRange(0, 4));
    record.age_ = base::Millis(*rc::gen::inRange(0, 86'400'000));
    member.retired_ = retiredBackend();
    if (!record.isLive())
        return record;
    member.region_ = name(0);
    member.peerAddress_ = address();
    member.controlAddress_ = address();
    member.service_ = name(0);
    member.slots_ = *rc::gen::arbitrary<std::uint32_t>();
    member.serving_ = static_cast<model::ServingState>(*rc::gen::inRange(0, 3));
    member.revision_ = number();
    return record;
}

inline membership::Body body()
{
    membership::Digest digest;
    for (auto &hash : digest)
        hash = number();
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return membership::Ping{number(), name(1)};
    case 1:
        return membership::PingRequest{number(), name(1), address()};
    case 2:
        return membership::Ack{number(), name(1)};
    case 3:
        return membership::Gossip{};
    case 4:
        return membership::DigestRequest{name(1), digest};
    default:
        return membership::FetchAdvice{name(1)};
    }
}

inline membership::Datagram datagram()
{
    membership::Datagram datagram;
    datagram.senderId_ = name(1);
    datagram.senderGeneration_ = number();
    datagram.senderDataCentre_ = name(1);
    datagram.senderRevision_ = number();
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
        datagram.views_.push_back({name(1), base::Millis(*rc::gen::inRange(0, 99999)), number()});
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
        const auto daemons = *rc::gen::arbitrary<std::uint32_t>();
        datagram.revisions_.push_back({name(1), number(), {{number(), daemons}}});
    }
    datagram.body_ = body();
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
        datagram.records_.push_back(record());
    return datagram;
}

} // namespace generators

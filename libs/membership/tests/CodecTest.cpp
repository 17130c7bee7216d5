#include "Generators.h"

#include <gtest/gtest.h>
#include <membership/Codec.h>
#include <rapidcheck/gtest.h>

using membership::Codec;

RC_GTEST_PROP(Codec, roundTripsDatagramsAndState, ())
{
    const Codec codec(*rc::gen::element<std::string>("", "secret"));
    const auto datagram = generators::datagram();
    RC_ASSERT((codec.decode(codec.encode(datagram)) == datagram));
    RC_ASSERT((codec.decodeState(codec.encodeState(datagram.records_)) == datagram.records_));
}

RC_GTEST_PROP(Codec, encodedSizeStaysWithinTheBound, ())
{
    const auto datagram = generators::datagram();
    auto bound = Codec::overheadBound(datagram);
    for (const auto &record : datagram.records_)
        bound += Codec::sizeBound(record);
    RC_ASSERT(Codec("secret").encode(datagram).size() <= bound);
}

RC_GTEST_PROP(Codec, rejectsOrDecodesDamagedBytes, ())
{
    const Codec codec;
    auto bytes = codec.encode(generators::datagram());
    for (int i = *rc::gen::inRange(1, 6); i > 0; --i)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    if (const auto decoded = codec.decode(bytes)) {
        // An accepted datagram must be valid, so that it can be encoded and decoded again.
        RC_ASSERT((codec.decode(codec.encode(*decoded)) == decoded));
    }
    (void)codec.decodeState(bytes);
}

RC_GTEST_PROP(Codec, rejectsRandomBytes, (std::string bytes))
{
    const Codec codec;
    (void)codec.decodeState(bytes);
    RC_ASSERT(!codec.decode(bytes).has_value());
    RC_ASSERT(!codec.decode('\1' + bytes).has_value());
}

RC_GTEST_PROP(Codec, macDetectsAnyChangedByte, ())
{
    const Codec codec("secret");
    auto bytes = codec.encode(generators::datagram());
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] = static_cast<char>(bytes[position] ^ *rc::gen::inRange(1, 128));
    RC_ASSERT(codec.decode(bytes).error().code_ == "bad-mac");
}

TEST(Codec, rejectsLengthsBeyondTheInput)
{
    const std::string arrayOfManyElements("\x01\xdd\xff\xff\xff\xff", 6);
    const std::string longString("\x01\x99\xdb\xff\xff\xff\xff", 7);
    EXPECT_EQ(Codec().decode(arrayOfManyElements).error().code_, "bad-datagram");
    EXPECT_EQ(Codec().decode(longString).error().code_, "bad-datagram");
}

TEST(Codec, ignoresFieldsBehindTheRetiredBackend)
{
    membership::Record record;
    record.member_.id_ = "a";
    record.member_.dataCentre_ = "dc";
    record.member_.retired_ = model::RetiredBackend{1, 2, 3};
    record.status_ = membership::Status::Left;
    auto bytes = Codec().encodeState({record});
    // The header of the record, an array of seven elements, is the third byte; adds an eighth.
    ASSERT_EQ(bytes[2], '\x97');
    bytes[2] = '\x98';
    bytes += '\x01';
    EXPECT_EQ(Codec().decodeState(bytes)->front(), record);
}

TEST(Codec, ignoresFieldsOfLaterVersions)
{
    membership::Record record;
    record.member_.id_ = "a";
    record.member_.dataCentre_ = "dc";
    record.status_ = membership::Status::Left;
    auto bytes = Codec().encodeState({record});
    // The header of the record, an array of six elements, is the third byte; adds a seventh.
    ASSERT_EQ(bytes[2], '\x96');
    bytes[2] = '\x97';
    bytes += '\x01';
    EXPECT_EQ(Codec().decodeState(bytes)->front(), record);
}

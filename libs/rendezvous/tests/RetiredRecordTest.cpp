#include <rendezvous/RetiredRecord.h>

#include <gtest/gtest.h>

using rendezvous::RetiredRecord;

TEST(RetiredRecord, isTheInverseOfItsText)
{
    const model::RetiredBackend retired{.instanceHash_ = 0xffffffffffffffff,
                                        .startedAt_ = 1'700'000'000'000,
                                        .lastSequence_ = model::RetiredBackend::noFurtherSequence};
    const auto parsed = RetiredRecord::parse(RetiredRecord::text(retired));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(*parsed, retired);
}

TEST(RetiredRecord, rejectsDamagedText)
{
    for (const auto *text : {"", "{", "[]", "7", R"({"instance":1,"startedAt":2})",
                             R"({"instance":"1","startedAt":2,"lastSequence":3})",
                             R"({"instance":-1,"startedAt":2,"lastSequence":3})",
                             R"({"instance":1,"startedAt":2,"lastSequence":1e99})"}) {
        const auto parsed = RetiredRecord::parse(text);
        ASSERT_FALSE(parsed) << text;
        EXPECT_EQ(parsed.error().code_, "bad-retired");
    }
}

TEST(RetiredRecord, keysDifferFromThoseOfAddresses)
{
    EXPECT_TRUE(RetiredRecord::isKey(RetiredRecord::keyOf("wallet-0")));
    EXPECT_FALSE(RetiredRecord::isKey("wallet-0"));
}

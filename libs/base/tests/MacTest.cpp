#include <base/Mac.h>

#include <gtest/gtest.h>

TEST(Mac, matchesTruncatedHmacSha256)
{
    // RFC 4231, test case 2.
    const base::Mac mac("Jefe");
    const std::string expected = "\x5b\xdc\xc1\x46\xbf\x60\x75\x4e\x6a\x04\x24\x26\x08\x95\x75\xc7";
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(mac.of("what do ya want for nothing?"), expected);
}

TEST(Mac, rejectsOtherTextsAndTruncatedCodes)
{
    const base::Mac mac(base::randomSecret());
    const auto code = mac.of("text");
    EXPECT_TRUE(mac.isOf(code, "text"));
    EXPECT_FALSE(mac.isOf(code, "Text"));
    EXPECT_FALSE(mac.isOf(code.substr(1), "text"));
    EXPECT_FALSE(mac.isOf("", "text"));
    EXPECT_FALSE(base::Mac(base::randomSecret()).isOf(code, "text"));
}

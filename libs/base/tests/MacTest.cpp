#include <base/Mac.h>

#include <gtest/gtest.h>

TEST(Mac, matchesTruncatedHmacSha256)
{
    // RFC 4231, test case 2.
    const base::Mac mac("Jefe");
    const std::string expected = "\x5b\xdc\xc1\x46\xbf\x60\x75\x4e\x6a\x04\x24\x26\x08\x95\x75\xc7";
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(mac.compute("what do ya want for nothing?"), expected);
}

TEST(Mac, rejectsOtherTextsAndTruncatedCodes)
{
    const base::Mac mac(base::randomSecret());
    const auto code = mac.compute("text");
    EXPECT_TRUE(mac.verify(code, "text"));
    EXPECT_FALSE(mac.verify(code, "Text"));
    EXPECT_FALSE(mac.verify(code.substr(1), "text"));
    EXPECT_FALSE(mac.verify("", "text"));
    EXPECT_FALSE(base::Mac(base::randomSecret()).verify(code, "text"));
}

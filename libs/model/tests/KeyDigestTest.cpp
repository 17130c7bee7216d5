#include <model/KeyDigest.h>

#include <gtest/gtest.h>

using model::KeyDigest;

TEST(KeyDigest, isSha256InHexadecimal)
{
    EXPECT_EQ(KeyDigest::of("abc").text(),
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(KeyDigest, parsesItsText)
{
    const auto digest = KeyDigest::of("school");
    EXPECT_EQ(KeyDigest::parse(digest.text()), digest);
    EXPECT_FALSE(KeyDigest::parse("ba78"));
    EXPECT_FALSE(KeyDigest::parse(std::string(64, 'g')));
}

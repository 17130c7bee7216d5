#include <once/Entry.h>
#include <once/Home.h>
#include <once/Key.h>
#include <once/SubKey.h>

#include <base/Mac.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using base::Millis;
using once::Incarnation;
using once::Key;
using once::SubKey;

namespace {

Key sampleKey()
{
    Key key;
    key.home_ = Incarnation{"wallet-1", 1764824956000};
    key.serial_ = 77;
    key.expiry_ = Millis(300'000);
    key.customer_ = "north";
    key.service_ = "redeem";
    key.mac_ = std::string(base::macBytes, '\xff');
    return key;
}

} // namespace

TEST(Key, parsesItsOwnText)
{
    EXPECT_EQ(Key::parse(sampleKey().text()).value(), sampleKey());
    const SubKey subKey{{"a", 1}, 9, {"b", 2}};
    EXPECT_EQ(SubKey::parse(subKey.text()).value(), subKey);
}

RC_GTEST_PROP(Key, acceptsOnlyCanonicalText, (const std::string &text))
{
    if (const auto key = Key::parse(text))
        RC_ASSERT(key->text() == text);
    if (const auto subKey = SubKey::parse(text))
        RC_ASSERT(subKey->text() == text);
}

RC_GTEST_PROP(Key, changedTextNeverParsesToTheSameKey, ())
{
    auto text = sampleKey().text();
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto character = *rc::gen::character<char>();
    RC_PRE(character != text[position]);
    text[position] = character;
    const auto key = Key::parse(text);
    RC_ASSERT(!key || *key != sampleKey());
}

TEST(Key, rejectsTextBeyondTheMaximumLength)
{
    EXPECT_FALSE(Key::parse(std::string(Key::maxTextLength + 1, 'A')));
    EXPECT_FALSE(SubKey::parse(std::string(SubKey::maxTextLength + 1, 'A')));
}

TEST(Entry, decidesByTheHomeOfTheKey)
{
    const auto key = sampleKey();
    const auto decide = [&](const Incarnation &self, const std::string &text,
                            bool hasUnknownContext) {
        return once::decideAtEntry(self, text, hasUnknownContext);
    };
    EXPECT_EQ(decide(key.home_, key.text(), false), once::EntryDecision(once::DecideLocally{key}));
    EXPECT_EQ(decide({"bidding-1", 5}, key.text(), false),
              once::EntryDecision(once::ForwardToHome{key}));
    EXPECT_EQ(decide({key.home_.id_, key.home_.generation_ + 1}, key.text(), false),
              once::EntryDecision(once::Unknown{once::Reason::OtherGeneration}));
    EXPECT_EQ(decide(key.home_, "made-up", false),
              once::EntryDecision(once::NotRun{once::Reason::BadKey, {}}));
    EXPECT_EQ(decide(key.home_, "made-up", true),
              once::EntryDecision(once::Unknown{once::Reason::OtherGeneration}));
}

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "RandomNotes.h"
#include <note/Limits.h>
#include <note/Parse.h>

namespace {

const char *const validNote = R"(id: prize-day-1
base: 4
added:
  services: [redeem, {name: wallet}]
  classes:
    - name: redemption
      service: redeem
      match: {method: POST, path: /redemptions}
      rank: 0
      idempotent: false
      deadline: 2000ms
    - {name: balance, service: wallet, rank: 7, idempotent: true, deadline: 2s}
  customers:
    - {name: school-7, share: 3, limit: 40}
  retries:
    - {class: balance, budget: 2, ratio: 0.05}
    - {class: redemption, budget: 3, scope: calls-below}
withdrawn:
  customers: [school-1]
)";

struct InvalidNote
{
    const char *text_;
    int line_;
    const char *field_;
    const char *message_;
};

const InvalidNote invalidNotes[] = {
        {"id: a\nbase: 0\nadd: {}\n", 3, "add", "unknown key"},
        {"id: a\nid: b\nbase: 0\n", 2, "id", "given twice"},
        {"base: 0\nwithdrawn: {services: [a]}\n", 1, "id", "is missing"},
        {"id: a b\nbase: 0\n", 1, "id", "letters"},
        {"id: a\nbase: -1\n", 2, "base", "whole number"},
        {"id: a\nbase: 0\n", 1, "", "nothing"},
        {"id: a\nbase: 0\nadded:\n  customers:\n  - {name: x, share: 0}\n", 5,
         "added.customers[0].share", "1 to"},
        {"id: a\nbase: 0\nadded:\n  customers:\n  - {name: x, share: 4294967297}\n", 5,
         "added.customers[0].share", "1 to"},
        {"id: a\nbase: 0\nadded:\n  customers:\n  - {name: x, limit: 4ms}\n", 5,
         "added.customers[0].limit", "without unit"},
        {"id: a\nbase: 0\nadded:\n  classes:\n  - name: c\n    service: s\n    rank: 10\n"
         "    idempotent: true\n    deadline: 1s\n",
         7, "added.classes[0].rank", "0 (matters most) to 9"},
        {"id: a\nbase: 0\nadded:\n  classes:\n  - name: c\n    service: s\n    rank: 1\n"
         "    idempotent: yes\n    deadline: 1s\n",
         8, "added.classes[0].idempotent", "true or false"},
        {"id: a\nbase: 0\nadded:\n  classes:\n  - name: c\n    service: s\n    rank: 1\n"
         "    idempotent: true\n    deadline: 2000us\n",
         9, "added.classes[0].deadline", "2000ms or 2s"},
        {"id: a\nbase: 0\nadded:\n  classes:\n  - name: c\n    service: s\n    rank: 1\n"
         "    idempotent: true\n    match: {path: x}\n    deadline: 2000\n",
         9, "added.classes[0].match.path", "start with '/'"},
        {"id: a\nbase: 0\nadded:\n  retries:\n  - {class: c, budget: 1, ratio: 10%}\n", 5,
         "added.retries[0].ratio", "such as 0.1"},
        {"id: a\nbase: 0\nadded:\n  classes:\n"
         "  - {name: c, service: s, rank: 1, idempotent: false, deadline: 1s}\n"
         "  retries:\n  - {class: c, budget: 1}\n",
         7, "added.retries[0]", "not idempotent"},
        {"id: a\nbase: 0\nadded:\n  classes:\n"
         "  - {name: c, service: s, rank: 1, idempotent: true, deadline: 1s}\n"
         "withdrawn:\n  services: [s]\n",
         5, "added.classes[0]", "the same note withdraws"},
        {"id: a\nbase: 0\nadded: {services: [x]}\nwithdrawn:\n  services: [x]\n", 5,
         "withdrawn.services[0]", "occurs twice, first at line 3"},
        {"id: a\nbase: 0\nadded:\n  customers:\n  - name: x\n    keys: [secret-key]\n", 6,
         "added.customers[0].keys[0]", "fuchsiadock key digest"},
        {"id: a\nbase: 0\nadded:\n  customers:\n  - name: x\n    keys: secret-key\n", 6,
         "added.customers[0].keys", "must be a list"},
        {"id: a\nbase: 0\nadded:\n  customers:\n  - {name: x, rank: 10}\n", 5,
         "added.customers[0].rank", "0 (matters most) to 9"},
        {"id: a\nbase: 0\nadded:\n  customers:\n  - {name: x, rate: 2}\n", 5,
         "added.customers[0].rate", "given together"},
        {"id: a\nbase: 0\nadded:\n  customers:\n  - {name: x, rate: 0, burst: 1}\n", 5,
         "added.customers[0].rate", "more than 0"},
        {"id: a\nbase: 0\nadded:\n  customers:\n  - {name: x, rate: 1, burst: -1}\n", 5,
         "added.customers[0].burst", "must be 0 to"},
        {"id: a\nbase: 0\nadded: [x]\n", 3, "added", "mapping"},
        {"id: a\nbase: 0\nadded: {services: x}\n", 3, "added.services", "list"},
        {"id: a\n base: [0\n", 2, "", "not YAML"},
        {"just text", 1, "", "mapping"},
        {"", 1, "", "mapping"},
};

TEST(ParseNote, readsAllFields)
{
    const auto parsed = note::parseNote(validNote, "f.yaml");
    ASSERT_TRUE(parsed) << parsed.error().front().text();
    EXPECT_EQ(parsed->id_, "prize-day-1");
    EXPECT_EQ(parsed->base_, 4U);
    ASSERT_EQ(parsed->changes_.size(), 8U);
    const model::RequestClass redemption{"redemption", "redeem",          "POST", "/redemptions", 0,
                                         false,        base::Millis(2000)};
    const note::ItemValue expected = redemption;
    const auto it = std::find_if(parsed->changes_.begin(), parsed->changes_.end(),
                                 [&](const auto &c) { return c.key_ == note::keyOf(expected); });
    ASSERT_NE(it, parsed->changes_.end());
    EXPECT_EQ(it->value_, expected);
    EXPECT_EQ(std::get<note::ReleaseNote>(note::decodeRecord(note::encodeRecord(*parsed)).value()),
              *parsed);
}

TEST(ParseNote, readsKeysAllowanceAndPublicClasses)
{
    const auto digest = model::KeyDigest::of("key-1");
    const auto parsed = note::parseNote("id: a\nbase: 0\nadded:\n  classes:\n"
                                        "  - {name: c, service: s, rank: 1, idempotent: true, "
                                        "deadline: 1s, public: true}\n  customers:\n"
                                        "  - {name: x, rank: 0, rate: 0.5, burst: 10, keys: ["
                                                + digest.text() + "]}\n",
                                        "f");
    ASSERT_TRUE(parsed) << parsed.error().front().text();
    EXPECT_TRUE(std::get<model::RequestClass>(*parsed->changes_[0].value_).isPublic_);
    const model::Customer expected{
            .name_ = "x", .rank_ = 0, .keys_ = {digest}, .allowance_ = {{0.5, 10}}};
    EXPECT_EQ(std::get<model::Customer>(*parsed->changes_[1].value_), expected);
    EXPECT_EQ(std::get<note::ReleaseNote>(note::decodeRecord(note::encodeRecord(*parsed)).value()),
              *parsed);
}

TEST(ParseNote, rejectsTwoCustomersWithOneKeyAndKeepsTextsSecret)
{
    const auto digest = model::KeyDigest::of("key-1").text();
    const auto shared =
            note::parseNote("id: a\nbase: 0\nadded:\n  customers:\n  - {name: x, keys: [" + digest
                                    + "]}\n  - {name: y, keys: [" + digest + ", " + digest + "]}\n",
                            "f");
    ASSERT_FALSE(shared);
    ASSERT_EQ(shared.error().size(), 2U);
    EXPECT_EQ(shared.error()[0].text(), "f:6: added.customers[1].keys[1]: is given twice");
    EXPECT_EQ(shared.error()[1].text(),
              "f:6: added.customers[1]: has a key that customer \"x\" has too");
    const auto plain = note::parseNote(
            "id: a\nbase: 0\nadded: {customers: [{name: x, keys: [my-secret, [my-secret]]}]}\n",
            "f");
    ASSERT_FALSE(plain);
    for (const auto &fault : plain.error())
        EXPECT_EQ(fault.text().find("my-secret"), std::string::npos) << fault.text();
}

/** Daemons compare digests of the encoding, so that of earlier notes must stay. */
TEST(ParseNote, encodesItemsWithoutKeysAsBefore)
{
    const auto parsed =
            note::parseNote("id: a\nbase: 0\nadded:\n  classes:\n"
                            "  - {name: c, service: s, rank: 1, idempotent: true, deadline: 1s}\n"
                            "  customers: [{name: x, share: 2}]\n",
                            "f");
    ASSERT_TRUE(parsed);
    EXPECT_EQ(note::encodeRecord(*parsed),
              R"({"note":{"base":0,"changes":[)"
              R"({"action":0,"kind":1,"name":"c","value":{"deadlineMs":1000,"idempotent":true,)"
              R"("method":"","name":"c","path":"/","rank":1,"service":"s"}},)"
              R"({"action":0,"kind":2,"name":"x","value":{"limit":0,"name":"x","share":2}}],)"
              R"("id":"a"},"type":"note","v":1})");
}

TEST(ParseNote, reportsFileLineAndFieldOfEachFault)
{
    for (const auto &invalid : invalidNotes) {
        const auto parsed = note::parseNote(invalid.text_, "f.yaml");
        ASSERT_FALSE(parsed) << invalid.text_;
        const auto &faults = parsed.error();
        const bool found = std::any_of(faults.begin(), faults.end(), [&](const note::Fault &f) {
            return f.file_ == "f.yaml" && f.line_ == invalid.line_ && f.field_ == invalid.field_
                   && f.message_.find(invalid.message_) != std::string::npos;
        });
        EXPECT_TRUE(found) << invalid.text_ << "\n" << faults.front().text();
    }
}

TEST(ParseNote, reportsAllFaultsUpToTheLimit)
{
    const auto parsed = note::parseNote(
            "id: ''\nbase: x\nadded:\n  services: [{nam: x}]\n  customers: [{name: y, share: 0}]\n",
            "f");
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error().size(), 5U);

    std::string manyFaults = "id: a\nbase: 0\nx: &x {";
    for (int i = 0; i < 500; ++i)
        manyFaults += "k" + std::to_string(i) + ": 1, ";
    manyFaults += "}\nadded: {customers: [";
    for (int i = 0; i < 5000; ++i)
        manyFaults += "*x, ";
    EXPECT_EQ(note::parseNote(manyFaults + "]}", "f").error().size(), note::limits::faultsReported);
    EXPECT_FALSE(note::parseNote(std::string(note::limits::noteBytes + 1, '#'), "f"));
    EXPECT_FALSE(note::parseNote(std::string(note::limits::noteBytes, '['), "f"));
}

std::string mutateText(std::string text, base::Random &random)
{
    const auto edits = 1 + random.below(4);
    for (std::uint64_t i = 0; i < edits && !text.empty(); ++i) {
        const auto offset = random.below(text.size());
        switch (random.below(4)) {
        case 0:
            text[offset] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.erase(offset, 1 + random.below(8));
            break;
        case 2:
            text.insert(offset, text.substr(random.below(text.size()), random.below(20)));
            break;
        default:
            text.resize(offset);
        }
    }
    return text;
}

RC_GTEST_PROP(ParserProperty, returnsANoteOrFaultsForMutatedText, (std::uint64_t seed))
{
    base::Random random(seed);
    for (int i = 0; i < 20; ++i) {
        const auto text = mutateText(validNote, random);
        const auto parsed = note::parseNote(text, "f");
        if (parsed)
            RC_ASSERT(note::decodeRecord(note::encodeRecord(*parsed)).has_value());
        else
            RC_ASSERT(!parsed.error().empty());
    }
}

RC_GTEST_PROP(ParserProperty, rejectsRandomBytesAsRecordAndState, (const std::string &bytes))
{
    (void)note::parseNote(bytes, "f");
    RC_ASSERT(!note::decodeRecord(bytes));
    RC_ASSERT(!note::decodeState(bytes));
}

RC_GTEST_PROP(ParserProperty, rejectsOrFullyDecodesMutatedRecords, (std::uint64_t seed))
{
    RandomNotes notes(seed);
    note::State state;
    for (std::uint64_t i = 0; i < 10; ++i)
        state = note::applyNote(state, i, notes.note(state.revision_));
    const auto valid = note::encodeState(state);
    const auto record = note::encodeRecord(notes.note(state.revision_));
    for (int i = 0; i < 20; ++i) {
        if (const auto decoded = note::decodeState(mutateText(valid, notes.random())))
            RC_ASSERT(note::digestOf(*decoded) == note::digestOf(state));
        if (const auto decoded = note::decodeRecord(mutateText(record, notes.random())))
            RC_ASSERT(note::decodeRecord(note::encodeRecord(*decoded)).value() == *decoded);
    }
}

} // namespace

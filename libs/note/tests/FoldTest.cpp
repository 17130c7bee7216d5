#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "RandomNotes.h"
#include <note/Fold.h>
#include <note/Limits.h>

namespace {

using note::Fold;
using note::State;

/** Log of notes, repeats, malformed records and snapshots, and the state after each record. */
struct History
{
    std::vector<std::string> records_;
    std::vector<State> states_; ///< states_[i]: after the first i records
    std::vector<std::size_t> snapshotOffsets_;
    std::vector<std::size_t> coveredOffsets_; ///< end of the records that each snapshot covers
};

void append(History &history, Fold &fold, const std::string &record)
{
    fold.apply(history.records_.size(), record);
    history.records_.push_back(record);
    history.states_.push_back(*fold.state());
}

History randomHistory(std::uint64_t seed, std::size_t length)
{
    RandomNotes notes(seed);
    History history;
    Fold fold;
    fold.setFirstOffset(0);
    history.states_.push_back(*fold.state());
    while (history.records_.size() < length) {
        const auto size = history.records_.size();
        const auto kind = notes.random().below(10);
        if (kind == 0) {
            append(history, fold, "{rubbish");
        } else if (kind == 1 && size > 0) {
            append(history, fold, history.records_[notes.random().below(size)]);
            if (std::holds_alternative<note::Snapshot>(note::decodeRecord(history.records_.back())
                                                               .value_or(note::ReleaseNote{}))) {
                history.records_.pop_back();
                history.states_.pop_back();
                fold = Fold();
                fold.setFirstOffset(0);
                for (std::size_t i = 0; i < size; ++i)
                    fold.apply(i, history.records_[i]);
            }
        } else if (kind == 2) {
            const auto covered = size - std::min<std::size_t>(size, notes.random().below(6));
            history.snapshotOffsets_.push_back(size);
            history.coveredOffsets_.push_back(covered);
            append(history, fold, note::encodeRecord(note::Snapshot{history.states_[covered]}));
        } else {
            append(history, fold, note::encodeRecord(notes.note(fold.state()->revision_)));
        }
    }
    return history;
}

Fold foldFrom(const History &history, std::size_t first)
{
    Fold fold;
    fold.setFirstOffset(first);
    for (std::size_t i = first; i < history.records_.size(); ++i)
        fold.apply(i, history.records_[i]);
    return fold;
}

note::ReleaseNote addService(const std::string &id, const std::string &service,
                             model::Revision base = 0)
{
    const model::Service value{service};
    return {id, base, {{note::Action::Add, note::keyOf(value), value}}};
}

RC_GTEST_PROP(FoldProperty, foldFromAnySnapshotEqualsFoldOfTheFullLog, (std::uint64_t seed))
{
    const auto history = randomHistory(seed, 60);
    for (std::size_t i = 0; i < history.snapshotOffsets_.size(); ++i) {
        for (std::size_t first = 1; first <= history.coveredOffsets_[i]; first += 11) {
            const auto fold = foldFrom(history, first);
            RC_ASSERT(fold.isComplete());
            RC_ASSERT(*fold.state() == history.states_.back());
        }
    }
}

RC_GTEST_PROP(FoldProperty, revisionNeverDecreasesAndEarlierStatesChangeNothing,
              (std::uint64_t seed))
{
    const auto history = randomHistory(seed, 60);
    base::Random random(seed);
    Fold fold;
    fold.setFirstOffset(0);
    model::Revision last = 0;
    for (std::size_t i = 0; i < history.records_.size(); ++i) {
        fold.mergeState(history.states_[random.below(i + 1)]);
        fold.apply(i, history.records_[i]);
        RC_ASSERT(fold.state()->revision_ >= last);
        RC_ASSERT(*fold.state() == history.states_[i + 1]);
        last = fold.state()->revision_;
    }
}

RC_GTEST_PROP(FoldProperty, mergeOfTwoStatesOfOneLogGivesTheLater, (std::uint64_t seed))
{
    const auto history = randomHistory(seed, 40);
    base::Random random(seed);
    const auto a = random.below(history.states_.size());
    const auto b = random.below(history.states_.size());
    const auto &later = history.states_[std::max(a, b)];
    RC_ASSERT(note::merge(history.states_[a], history.states_[b]) == later);
    RC_ASSERT(note::merge(history.states_[b], history.states_[a]) == later);
    RC_ASSERT(note::decodeState(note::encodeState(later)).value() == later);
}

/** Daemons that lost records to trimming have different states; they must converge. */
RC_GTEST_PROP(FoldProperty, daemonsConvergeAfterTheLogWasTrimmed, (std::uint64_t seed))
{
    const auto history = randomHistory(seed, 20);
    RandomNotes notes(seed + 1);
    std::vector<Fold> folds(3);
    for (auto &fold : folds) {
        fold.setFirstOffset(0);
        const auto appliedRecords = notes.random().below(history.records_.size());
        for (std::size_t i = 0; i < appliedRecords; ++i)
            fold.apply(i, history.records_[i]);
        fold.setFirstOffset(history.records_.size());
    }
    std::uint64_t offset = history.records_.size();
    for (auto &writer : folds) {
        std::vector<std::string> records;
        records.push_back(note::encodeRecord(notes.note(writer.state()->revision_)));
        records.push_back(note::encodeRecord(*writer.snapshot()));
        for (const auto &record : records) {
            for (auto &fold : folds)
                fold.apply(offset, record);
            ++offset;
        }
    }
    const auto a = *folds[0].state();
    const auto b = *folds[1].state();
    const auto c = *folds[2].state();
    const auto all = note::merge(note::merge(a, b), c);
    RC_ASSERT(all == note::merge(a, note::merge(b, c)));
    RC_ASSERT(all == note::merge(note::merge(c, a), b));
    for (auto &fold : folds) {
        const auto before = fold.state()->revision_;
        fold.mergeState(all);
        RC_ASSERT(fold.isComplete());
        RC_ASSERT(fold.state()->revision_ >= before);
        RC_ASSERT(note::digestOf(*fold.state()) == note::digestOf(all));
    }
}

TEST(Fold, rejectsAConflictingNoteAndNamesTheAcceptedOne)
{
    State state = note::applyNote({}, 0, addService("first", "wallet"));
    state = note::applyNote(state, 1, addService("second", "wallet"));
    EXPECT_TRUE(state.outcomes_.at("first").accepted_);
    EXPECT_FALSE(state.outcomes_.at("second").accepted_);
    EXPECT_NE(state.outcomes_.at("second").reason_.find("\"first\""), std::string::npos);
}

TEST(Fold, acceptsNotesOfOneBaseForDifferentItems)
{
    State state = note::applyNote({}, 0, addService("first", "wallet"));
    state = note::applyNote(state, 1, addService("second", "redeem"));
    EXPECT_TRUE(state.outcomes_.at("second").accepted_);
    EXPECT_EQ(state.items_.size(), 2U);
}

TEST(Fold, ignoresRepeatedNotesAndOtherNotesWithTheSameId)
{
    State stateAfterFirst = note::applyNote({}, 0, addService("n", "wallet"));
    State state = note::applyNote(stateAfterFirst, 1, addService("n", "wallet"));
    state = note::applyNote(state, 2, addService("n", "redeem"));
    EXPECT_EQ(note::digestOf(state), note::digestOf(stateAfterFirst));
    EXPECT_EQ(state.nextOffset_, 3U);
}

TEST(Fold, rejectsWithdrawalOfAReferencedServiceAndInvalidRetries)
{
    const model::RequestClass value{"redeem", "wallet", "", "/", 0, false, base::Millis(1000)};
    const note::ItemKey service{note::ItemKind::Service, "wallet"};
    State state = note::applyNote({}, 0, addService("a", "wallet"));
    state = note::applyNote(state, 1, {"b", 1, {{note::Action::Add, note::keyOf(value), value}}});
    ASSERT_TRUE(state.outcomes_.at("b").accepted_);
    state = note::applyNote(state, 2, {"c", 1, {{note::Action::Withdraw, service, {}}}});
    EXPECT_NE(state.outcomes_.at("c").reason_.find("note \"b\""), std::string::npos);

    const note::RetryRule retry{{"redeem", 2, 0.1}, false};
    state = note::applyNote(state, 3, {"d", 2, {{note::Action::Add, note::keyOf(retry), retry}}});
    EXPECT_NE(state.outcomes_.at("d").reason_.find("not idempotent"), std::string::npos);
    const note::RetryRule downstreamOnly{{"redeem", 2, 0.1}, true};
    state = note::applyNote(
            state, 4, {"e", 2, {{note::Action::Add, note::keyOf(downstreamOnly), downstreamOnly}}});
    EXPECT_TRUE(state.outcomes_.at("e").accepted_);
    EXPECT_EQ(note::configOf(state).retryTolerances_.at("redeem").budget_, 2U);
}

model::Customer customerWithKey(const std::string &name, const std::string &key)
{
    return {.name_ = name, .keys_ = {model::KeyDigest::of(key)}};
}

note::ReleaseNote noteOf(const std::string &id, model::Revision base, note::Action action,
                         const note::ItemValue &value)
{
    return {id, base, {{action, note::keyOf(value), value}}};
}

TEST(Fold, rejectsAKeyOfAnotherCustomerUntilItIsWithdrawn)
{
    using note::Action;
    State state = note::applyNote(
            {}, 0, noteOf("a", 0, Action::Add, customerWithKey("school-1", "key-1")));
    ASSERT_TRUE(state.outcomes_.at("a").accepted_);
    const auto copy = customerWithKey("school-2", "key-1");
    state = note::applyNote(state, 1, noteOf("b", 1, Action::Add, copy));
    EXPECT_EQ(state.outcomes_.at("b").reason_,
              R"(customer "school-2" has a key that customer "school-1" has too (note "a", )"
              R"(revision 1))");
    state = note::applyNote(state, 2,
                            noteOf("c", 1, Action::Change, customerWithKey("school-1", "key-2")));
    state = note::applyNote(state, 3, noteOf("d", 3, Action::Add, copy));
    EXPECT_TRUE(state.outcomes_.at("d").accepted_);
    const auto config = note::configOf(state);
    ASSERT_NE(config.customerOf(model::KeyDigest::of("key-1")), nullptr);
    EXPECT_EQ(config.customerOf(model::KeyDigest::of("key-1"))->name_, "school-2");
    EXPECT_TRUE(config.requiresKeys_);
}

/** Without any key all requests would be served, also those with the key that was withdrawn. */
TEST(Fold, rejectsWithdrawalOfTheLastKey)
{
    using note::Action;
    const note::ItemKey key{note::ItemKind::Customer, "school-1"};
    State state = note::applyNote(
            {}, 0, noteOf("a", 0, Action::Add, customerWithKey("school-1", "key-1")));
    state = note::applyNote(state, 1, {"b", 1, {{Action::Withdraw, key, {}}}});
    EXPECT_NE(state.outcomes_.at("b").reason_.find("no customer would have a key"),
              std::string::npos);
    EXPECT_TRUE(note::configOf(state).requiresKeys_);
}

TEST(Fold, aStateWithAllKeysFitsIntoARecord)
{
    State state;
    state.revision_ = 1;
    const auto keysPerCustomer = note::limits::keys / note::limits::customers;
    for (std::size_t i = 0; i < note::limits::customers; ++i) {
        std::string name = std::to_string(i);
        name.insert(0, note::limits::nameBytes - name.size(), 'c');
        model::Customer customer{.name_ = name, .rank_ = 9, .allowance_ = {{1234.5, 1234.5}}};
        for (std::size_t k = 0; k < keysPerCustomer; ++k)
            customer.keys_.push_back(model::KeyDigest::of(name + std::to_string(k)));
        state.items_[note::keyOf(customer)] = {1, std::string(note::limits::nameBytes, 'n'),
                                               customer};
    }
    const auto text = note::encodeState(state);
    EXPECT_LT(text.size(), note::limits::recordBytes);
    EXPECT_EQ(note::decodeState(text).value(), state);
    const auto oneMore = noteOf("more", 1, note::Action::Add, customerWithKey("x", "y"));
    EXPECT_NE(note::rejectionReason(state, oneMore)->find("more than 32768 keys"),
              std::string::npos);
}

TEST(Fold, boundsMemoryAndRejectsBasesBeforeTheFloor)
{
    State state;
    std::vector<State> states;
    std::uint64_t offset = 0;
    for (std::size_t i = 0; i < note::limits::withdrawnKept + 10; ++i) {
        const auto name = std::to_string(i);
        const note::ItemKey key{note::ItemKind::Service, "s" + name};
        state = note::applyNote(state, offset++,
                                addService("a" + name, "s" + name, state.revision_));
        state = note::applyNote(state, offset++,
                                {"w" + name, state.revision_, {{note::Action::Withdraw, key, {}}}});
        if (i % 100 == 0)
            states.push_back(state);
    }
    EXPECT_EQ(state.outcomes_.size(), note::limits::outcomesKept);
    EXPECT_LE(state.items_.size(), note::limits::withdrawnKept);
    const auto lateState = note::applyNote(state, offset, addService("a0", "s0", 0));
    EXPECT_FALSE(lateState.outcomes_.at("a0").accepted_);
    for (const auto &earlierState : states)
        EXPECT_EQ(note::merge(earlierState, state), state);
}

} // namespace

#include "details/HolderWatch.h"

#include <gtest/gtest.h>

#include <logclient/KeyedLog.h>

using base::Millis;
using dock::details::AllotterRecord;
using dock::details::HolderWatch;
using once::Incarnation;

namespace {

const model::Address ownAddress{"10.0.0.1", 7000};
const model::Address otherAddress{"10.0.0.2", 7000};

/** A partition whose only known record is the last one. */
class OneRecordLog : public logclient::KeyedLog
{
public:
    void readNewest(const std::string &, const std::string &, logclient::KeyedDone) override {}
    void readFrom(const std::string &, std::uint64_t, Millis, logclient::KeyedDone) override {}
    void put(const std::string &, const std::string &, const std::string &,
             logclient::PutDone) override
    {}
    void appendAt(const logclient::ConditionalAppend &, logclient::ConditionalDone) override {}

    void readPartition(const std::string &, std::uint32_t, std::uint64_t from,
                       logclient::KeyedDone done) override
    {
        ++reads_;
        done(logclient::KeyedPage{.records_ = {{key_, value_, from}}, .next_ = from + 1});
    }

    std::string key_;
    std::string value_;
    int reads_ = 0;
};

class HolderWatchTest : public testing::Test
{
protected:
    HolderWatchTest()
        : watch_(log_, "allotters", {{"own", 50}, ownAddress},
                 {.identify_ =
                          [this](const model::Address &, auto done) {
                              ++questions_;
                              done(running_);
                          },
                  .onEnded_ = [this](std::uint32_t, std::uint64_t end) { ended_ = end; },
                  .onRunning_ =
                          [this](std::uint32_t, const std::string &id) {
                              seen_ = id;
                          }})
    {}

    void append(const AllotterRecord &record)
    {
        log_.key_ = record.holder_.id_;
        log_.value_ = record.encode();
    }

    OneRecordLog log_;
    std::optional<Incarnation> running_;
    int questions_ = 0;
    std::uint64_t ended_ = 0;
    std::string seen_;
    HolderWatch watch_;
};

} // namespace

TEST_F(HolderWatchTest, takesAnotherProcessAtTheAddressAsProof)
{
    append({{"other", 7}, otherAddress});
    running_ = Incarnation{"other", 8};
    watch_.look(1, 12, Millis(0));
    EXPECT_EQ(ended_, 12U);
}

TEST_F(HolderWatchTest, findsTheAllotterThatRuns)
{
    append({{"other", 7}, otherAddress});
    running_ = Incarnation{"other", 7};
    watch_.look(1, 12, Millis(0));
    EXPECT_EQ(ended_, 0U);
    EXPECT_EQ(seen_, "other");
}

TEST_F(HolderWatchTest, provesNothingByADaemonOfAnotherName)
{
    append({{"other", 7}, otherAddress});
    running_ = Incarnation{"third", 8};
    watch_.look(1, 12, Millis(0));
    EXPECT_EQ(ended_, 0U);
    EXPECT_EQ(seen_, "");
}

TEST_F(HolderWatchTest, provesNothingByAnEarlierProcess)
{
    append({{"other", 7}, otherAddress});
    running_ = Incarnation{"other", 6};
    watch_.look(1, 12, Millis(0));
    EXPECT_EQ(ended_, 0U);
    EXPECT_EQ(seen_, "");
}

TEST_F(HolderWatchTest, knowsThatItsOwnPredecessorHasEnded)
{
    append({{"own", 49}, ownAddress});
    watch_.look(1, 12, Millis(0));
    EXPECT_EQ(ended_, 12U);
    EXPECT_EQ(questions_, 0);
}

TEST_F(HolderWatchTest, asksAgainAfterAWhileWithoutReadingAgain)
{
    append({{"other", 7}, otherAddress});
    watch_.look(1, 12, Millis(0));
    watch_.look(1, 12, Millis(50));
    EXPECT_EQ(questions_, 1);
    running_ = Incarnation{"other", 8};
    watch_.look(1, 12, Millis(200));
    EXPECT_EQ(questions_, 2);
    EXPECT_EQ(log_.reads_, 1);
    EXPECT_EQ(ended_, 12U);
}

TEST_F(HolderWatchTest, readsAnUnreadableRecordOnce)
{
    log_.key_ = "other";
    for (const char *value : {"", "7", "x 10.0.0.2:7000", "7 10.0.0.2", "-7 10.0.0.2:7000"}) {
        log_.value_ = value;
        log_.reads_ = 0;
        const auto end = static_cast<std::uint64_t>(std::string(value).size() + 1);
        watch_.look(1, end, Millis(0));
        watch_.look(1, end, Millis(1000));
        EXPECT_EQ(log_.reads_, 1) << value;
    }
    EXPECT_EQ(questions_, 0);
    EXPECT_EQ(ended_, 0U);
}

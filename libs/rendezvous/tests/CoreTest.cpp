#include <rendezvous/Core.h>
#include <rendezvous/Meeting.h>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

using base::Millis;
using rendezvous::Append;
using rendezvous::Command;
using rendezvous::Core;
using rendezvous::Meeting;
using rendezvous::Options;

namespace {

Options optionsOf(int number)
{
    return {.selfId_ = "d" + std::to_string(number),
            .dataCentre_ = "a",
            .controlAddress_ = {"10.0.0.1", static_cast<std::uint16_t>(1000 + number)},
            .seed_ = static_cast<std::uint64_t>(number)};
}

rendezvous::MembersChanged membersUpTo(int count)
{
    auto members = std::make_shared<std::vector<model::Member>>();
    for (int i = 0; i < count; ++i) {
        model::Member member;
        member.id_ = optionsOf(i).selfId_;
        member.dataCentre_ = "a";
        members->push_back(member);
    }
    return {members};
}

template<typename T>
std::vector<T> only(const std::vector<Command> &commands)
{
    std::vector<T> found;
    for (const auto &command : commands) {
        if (const auto *wanted = std::get_if<T>(&command))
            found.push_back(*wanted);
    }
    return found;
}

/** Lone daemons that share one stream; they find each other as soon as they read an address. */
class Restart
{
public:
    explicit Restart(int count)
    {
        for (int i = 0; i < count; ++i)
            cores_.emplace_back(optionsOf(i));
    }

    void run(Millis time)
    {
        for (Millis now(0); now < time; now = now + Millis(1000)) {
            for (std::size_t i = 0; i < cores_.size(); ++i)
                step(i, now);
        }
    }

    std::vector<std::string> stream_;
    std::set<std::size_t> joined_;

private:
    void step(std::size_t i, Millis now)
    {
        take(i, cores_[i].handle(rendezvous::Tick{}, now), now);
        if (!joined_.contains(i))
            take(i, cores_[i].handle(rendezvous::SeedsWanted{}, now), now);
    }

    void take(std::size_t i, const std::vector<Command> &commands, Millis now)
    {
        for (const auto &append : only<Append>(commands))
            stream_.push_back(append.data_);
        if (!only<rendezvous::AddSeeds>(commands).empty()) {
            joined_.insert(i);
            const auto members = membersUpTo(static_cast<int>(cores_.size()));
            take(i, cores_[i].handle(members, now), now);
        }
        if (!only<rendezvous::ReadTail>(commands).empty())
            take(i, cores_[i].handle(rendezvous::TailRead{stream_}, now), now);
    }

    std::vector<Core> cores_;
};

} // namespace

TEST(Rendezvous, aRestartOfAllMeetsWithFewAppends)
{
    constexpr int daemons = 2100;
    Restart restart(daemons);
    restart.run(Millis(120'000));
    // The first one is found by the others; it is joined by them and need not read an address.
    EXPECT_GE(restart.joined_.size(), static_cast<std::size_t>(daemons - 1));
    // Several hundred appends a second is all that the log takes for everybody.
    EXPECT_LT(restart.stream_.size(), 100U);
}

TEST(Rendezvous, aFewPublishersRepeatTheirAddress)
{
    constexpr int daemons = 40;
    int publishers = 0;
    for (int i = 0; i < daemons; ++i) {
        Core core(optionsOf(i));
        core.handle(membersUpTo(daemons), Millis(0));
        std::size_t appends = 0;
        for (Millis now(0); now < Millis(3'600'000); now = now + Millis(1000))
            appends += only<Append>(core.handle(rendezvous::Tick{}, now)).size();
        EXPECT_EQ(appends > 0, core.isPublisher());
        EXPECT_LE(appends, 13U);
        publishers += core.isPublisher() ? 1 : 0;
    }
    EXPECT_EQ(publishers, 2);
}

TEST(Rendezvous, aLogThatIsDownIsAskedEverMoreSeldom)
{
    Core core(optionsOf(1));
    std::size_t reads = 0;
    for (Millis now(0); now < Millis(3'600'000); now = now + Millis(1000)) {
        const auto commands = core.handle(rendezvous::SeedsWanted{}, now);
        reads += only<rendezvous::ReadTail>(commands).size();
        core.handle(rendezvous::ReadFailed{}, now);
    }
    EXPECT_GT(reads, 50U);
    EXPECT_LT(reads, 150U);
}

RC_GTEST_PROP(Rendezvous, anyRecordIsReadOrRefused, (const std::string &text))
{
    if (const auto meeting = Meeting::parse(text))
        RC_ASSERT(Meeting::parse(meeting->text()).value() == *meeting);
}

TEST(Rendezvous, recordsAreReadAsWritten)
{
    const Meeting meeting{"d1", "a", {"10.0.0.1", 7002}};
    EXPECT_EQ(Meeting::parse(meeting.text()).value(), meeting);
    EXPECT_EQ(Meeting::parse(R"({"id":"d1","control":"x"})").error().code_, "bad-meeting");
}

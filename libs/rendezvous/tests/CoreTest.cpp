#include <rendezvous/Core.h>
#include <rendezvous/SeedRecord.h>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

using base::Millis;
using rendezvous::Append;
using rendezvous::Command;
using rendezvous::Core;
using rendezvous::Options;
using rendezvous::SeedRecord;

namespace {

Options makeOptions(int number)
{
    return {.selfId_ = "d" + std::to_string(number),
            .dataCentre_ = "a",
            .controlAddress_ = {"10.0.0.1", static_cast<std::uint16_t>(1000 + number)},
            .seed_ = static_cast<std::uint64_t>(number)};
}

rendezvous::MembersChanged makeMembers(int count)
{
    auto members = std::make_shared<std::vector<model::Member>>();
    for (int i = 0; i < count; ++i) {
        model::Member member;
        member.id_ = makeOptions(i).selfId_;
        member.dataCentre_ = "a";
        members->push_back(member);
    }
    return {members};
}

template<typename T>
std::vector<T> commandsOfType(const std::vector<Command> &commands)
{
    std::vector<T> found;
    for (const auto &command : commands) {
        if (const auto *matching = std::get_if<T>(&command))
            found.push_back(*matching);
    }
    return found;
}

/** Daemons that start at once and share one stream; each joins all others on its first address. */
class SimulatedRestart
{
public:
    explicit SimulatedRestart(int count)
    {
        for (int i = 0; i < count; ++i)
            cores_.emplace_back(makeOptions(i));
    }

    void run(Millis time)
    {
        for (Millis now(0); now < time; now = now + Millis(1000)) {
            for (std::size_t i = 0; i < cores_.size(); ++i)
                tick(i, now);
        }
    }

    std::vector<std::string> records_;
    std::set<std::size_t> joined_;

private:
    void tick(std::size_t i, Millis now)
    {
        execute(i, cores_[i].handle(rendezvous::Tick{}, now), now);
        if (!joined_.contains(i))
            execute(i, cores_[i].handle(rendezvous::SeedsRequested{}, now), now);
    }

    void execute(std::size_t i, const std::vector<Command> &commands, Millis now)
    {
        for (const auto &append : commandsOfType<Append>(commands))
            records_.push_back(append.data_);
        if (!commandsOfType<rendezvous::AddSeeds>(commands).empty()) {
            joined_.insert(i);
            const auto members = makeMembers(static_cast<int>(cores_.size()));
            execute(i, cores_[i].handle(members, now), now);
        }
        if (!commandsOfType<rendezvous::ReadTail>(commands).empty())
            execute(i, cores_[i].handle(rendezvous::TailRead{records_}, now), now);
    }

    std::vector<Core> cores_;
};

} // namespace

TEST(Rendezvous, simultaneousRestartJoinsWithFewAppends)
{
    constexpr int daemons = 2100;
    SimulatedRestart restart(daemons);
    restart.run(Millis(120'000));
    // The first to append is joined by the others and need not read an address.
    EXPECT_GE(restart.joined_.size(), static_cast<std::size_t>(daemons - 1));
    // The log sustains only several hundred appends a second for all of its clients.
    EXPECT_LT(restart.records_.size(), 100U);
}

TEST(Rendezvous, onlyElectedPublishersAppendPeriodically)
{
    constexpr int daemons = 40;
    int publishers = 0;
    for (int i = 0; i < daemons; ++i) {
        Core core(makeOptions(i));
        core.handle(makeMembers(daemons), Millis(0));
        std::size_t appends = 0;
        for (Millis now(0); now < Millis(3'600'000); now = now + Millis(1000))
            appends += commandsOfType<Append>(core.handle(rendezvous::Tick{}, now)).size();
        EXPECT_EQ(appends > 0, core.isPublisher());
        EXPECT_LE(appends, 13U);
        publishers += core.isPublisher() ? 1 : 0;
    }
    EXPECT_EQ(publishers, 2);
}

TEST(Rendezvous, failingReadsBackOff)
{
    Core core(makeOptions(1));
    std::size_t reads = 0;
    for (Millis now(0); now < Millis(3'600'000); now = now + Millis(1000)) {
        const auto commands = core.handle(rendezvous::SeedsRequested{}, now);
        reads += commandsOfType<rendezvous::ReadTail>(commands).size();
        core.handle(rendezvous::ReadFailed{}, now);
    }
    EXPECT_GT(reads, 50U);
    EXPECT_LT(reads, 150U);
}

RC_GTEST_PROP(Rendezvous, arbitraryTextParsesOrFails, (const std::string &text))
{
    if (const auto seed = SeedRecord::parse(text))
        RC_ASSERT(SeedRecord::parse(seed->text()).value() == *seed);
}

TEST(Rendezvous, recordsRoundTrip)
{
    const SeedRecord seed{"d1", "a", {"10.0.0.1", 7002}};
    EXPECT_EQ(SeedRecord::parse(seed.text()).value(), seed);
    EXPECT_EQ(SeedRecord::parse(R"({"id":"d1","control":"x"})").error().code_, "bad-meeting");
}

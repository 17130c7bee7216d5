#include <admission/Core.h>

#include <gtest/gtest.h>

using namespace admission;
using base::Millis;

namespace {

Arrived arrival(RequestId id, int rank, Millis deadline = Millis(10000))
{
    return {.id_ = id, .priority_ = {.rank_ = rank}, .requestClass_ = "c", .deadline_ = deadline};
}

Core configuredCore(std::uint32_t slots)
{
    Core core;
    core.handle(Configured{.slots_ = slots}, Millis(1));
    return core;
}

} // namespace

TEST(AdmissionCore, refusesRequestsWithoutBackendServer)
{
    Core core;
    const auto commands = core.handle(arrival(1, 0), Millis(1));
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(std::get<Refuse>(commands[0]).reason_, RefusalReason::NotServing);
}

TEST(AdmissionCore, freeSlotStartsBestQueuedRequest)
{
    Core core = configuredCore(1);
    EXPECT_EQ(core.handle(arrival(1, 5), Millis(1)), std::vector<Command>{Start{1}});
    EXPECT_TRUE(core.handle(arrival(2, 7), Millis(2)).empty());
    EXPECT_TRUE(core.handle(arrival(3, 3), Millis(2)).empty());
    EXPECT_EQ(core.handle(Finished{1, Outcome::Ok, Millis(5)}, Millis(6)),
              std::vector<Command>{Start{3}});
    EXPECT_EQ(core.handle(Cancelled{3}, Millis(7)), std::vector<Command>{Start{2}});
}

TEST(AdmissionCore, refusesRequestsThatWouldMissTheirDeadline)
{
    Core core = configuredCore(2);
    core.handle(arrival(1, 5), Millis(1));
    core.handle(Finished{1, Outcome::Ok, Millis(50)}, Millis(51));
    const auto commands = core.handle(arrival(2, 5, Millis(90)), Millis(52));
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(std::get<Refuse>(commands[0]).reason_, RefusalReason::CannotFinish);
}

TEST(AdmissionCore, busyProcessorLowersLevelWithEmptyQueue)
{
    Core core = configuredCore(1000);
    RequestId id = 0;
    for (int elapsedMs = 1; elapsedMs <= 1000; ++elapsedMs) {
        const Millis now(elapsedMs);
        auto event = arrival(++id, 2, now + Millis(1000));
        event.priority_.bucket_ = elapsedMs % Priority::bucketCount;
        core.handle(event, now);
        core.handle(Finished{id, Outcome::Ok, Millis(1)}, now);
        if (elapsedMs % 20 == 0)
            core.handle(ProcessorBusy{}, now);
    }
    EXPECT_EQ(core.queued(), 0U);
    EXPECT_LT(core.level().value_, 3 * Priority::bucketCount - 1);
    EXPECT_EQ(core.level("any"), core.level());
}

#include <balance/SlotUse.h>

#include <gtest/gtest.h>

using namespace balance;

TEST(SlotUse, countsEachIntervalWithItsFewestFreeSlots)
{
    SlotUse use;
    use.take(2);
    use.record(Arrival::Started, 1);
    use.record(Arrival::Started, 0);
    use.record(Arrival::Queued, 0);
    use.record(Arrival::Refused, 0);
    use.record(Arrival::HandedBack, 0);
    EXPECT_EQ(use.take(2), (SlotSample{2, 1, 1, 1, 0}));
    use.record(Arrival::Started, 1);
    EXPECT_EQ(use.take(2), (SlotSample{1, 0, 0, 0, 1}));
    EXPECT_EQ(use.take(2), (SlotSample{0, 0, 0, 0, 2}));
}

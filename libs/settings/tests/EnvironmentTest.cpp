#include <settings/Environment.h>

#include <gtest/gtest.h>

using settings::Settings;

namespace {

/** An environment with just the grace period. */
settings::Environment withGracePeriod(const char *value)
{
    return [value](const char *name) {
        return std::string(name) == settings::gracePeriodVariable ? value : nullptr;
    };
}

} // namespace

TEST(Environment, gracePeriodOfThePlatformReplacesTheDrainTimeout)
{
    Settings settings;
    settings.drainTimeout_ = base::Millis(5200);
    EXPECT_FALSE(settings::applyEnvironment(settings, withGracePeriod("10")));
    EXPECT_EQ(settings.drainTimeout_, base::Millis(9200));
    EXPECT_FALSE(settings::applyEnvironment(settings, withGracePeriod("6.5")));
    EXPECT_EQ(settings.drainTimeout_, base::Millis(5700));
    EXPECT_FALSE(settings::applyEnvironment(settings, withGracePeriod("0.5")));
    EXPECT_EQ(settings.drainTimeout_, base::Millis(0));
}

// The platform excuses what is cut off while it runs only in the last sixth of the grace period.
TEST(Environment, drainEndsInTheLastSixthOfAnyGracePeriod)
{
    for (int seconds = 3; seconds <= 60; ++seconds) {
        Settings settings;
        const auto text = std::to_string(seconds);
        EXPECT_FALSE(settings::applyEnvironment(settings, withGracePeriod(text.c_str())));
        EXPECT_GE(settings.drainTimeout_.count(), seconds * 1000 * 5 / 6) << seconds;
        EXPECT_LE(settings.drainTimeout_.count(), seconds * 1000 - 500) << seconds;
    }
}

TEST(Environment, settingsStayWithoutAGracePeriod)
{
    Settings settings;
    for (const auto *value : {static_cast<const char *>(nullptr), ""}) {
        EXPECT_FALSE(settings::applyEnvironment(settings, withGracePeriod(value)));
        EXPECT_EQ(settings, Settings());
    }
}

TEST(Environment, badGracePeriodIsAFaultThatNamesTheVariable)
{
    for (const auto *value :
         {"ten", "10s", "-1", "0", "nan", "inf", "4000", "{{bounds.grace_s}}"}) {
        Settings settings;
        const auto fault = settings::applyEnvironment(settings, withGracePeriod(value));
        ASSERT_TRUE(fault) << value;
        EXPECT_EQ(fault->field_, settings::gracePeriodVariable);
        EXPECT_NE(fault->text().find(value), std::string::npos);
        EXPECT_EQ(settings, Settings());
    }
}

#include <settings/Loader.h>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace {

const std::string complete = "id: redeem-a-1\n"
                             "region: vn-south\n"
                             "dataCentre: a\n"
                             "dataAddress: 127.0.0.1:7000\n"
                             "peerAddress: 127.0.0.1:7001\n"
                             "controlAddress: 127.0.0.1:7002\n"
                             "adminAddress: 127.0.0.1:7003\n"
                             "log: 127.0.0.1:7100\n"
                             "adminToken: t\n";

std::vector<std::string> faultsOf(const std::string &yaml)
{
    std::vector<std::string> texts;
    const auto result = settings::parse(yaml, "daemon.yaml");
    if (!result) {
        for (const auto &fault : result.error())
            texts.push_back(fault.text());
    }
    return texts;
}

} // namespace

TEST(Settings, readsACompleteFile)
{
    const auto result =
            settings::parse(complete + "seeds: [127.0.0.1:7012]\nmode: baseline\n", "f");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->id_, "redeem-a-1");
    EXPECT_EQ(result->seeds_.at(0).port_, 7012);
    EXPECT_EQ(result->mode_, settings::Mode::Baseline);
}

TEST(Settings, reportsAllFaultsAtOnceWithLineAndField)
{
    const auto faults = faultsOf("id: redeem a 1\nregoin: vn\nkeyLifetimeMs: 2s\nseeds: 5\n");
    const std::vector<std::string> expected = {
            "daemon.yaml:1: 'id' must have at most 64 letters, digits, '-', '_' or '.'",
            "daemon.yaml:2: 'regoin' is no known field",
            "daemon.yaml:3: 'keyLifetimeMs' must be a whole number from 1000 to 3600000 "
            "(milliseconds)",
            "daemon.yaml:4: 'seeds' must be a list of addresses",
    };
    ASSERT_GE(faults.size(), expected.size());
    EXPECT_TRUE(std::equal(expected.begin(), expected.end(), faults.begin()));
    EXPECT_NE(std::find(faults.begin(), faults.end(), "daemon.yaml: 'region' is missing"),
              faults.end());
}

TEST(Settings, wantsExactlyOneAdministrationToken)
{
    auto yaml = complete;
    yaml.erase(yaml.find("adminToken"));
    EXPECT_EQ(faultsOf(yaml).size(), 1U);
    EXPECT_EQ(faultsOf(complete + "adminTokenFile: no-such-file\n").size(), 2U);
}

TEST(Settings, namesAMissingFile)
{
    const auto result = settings::loadFile("no-such-file.yaml");
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().at(0).text(), "no-such-file.yaml: cannot be read");
}

RC_GTEST_PROP(Settings, anyTextIsReadOrRefused, (const std::string &text))
{
    const auto result = settings::parse(text, "f");
    RC_ASSERT(result.has_value() || !result.error().empty());
}

RC_GTEST_PROP(Settings, aDamagedFileIsReadOrRefused, ())
{
    auto yaml = complete;
    const auto place = *rc::gen::inRange<std::size_t>(0, yaml.size());
    yaml[place] = *rc::gen::arbitrary<char>();
    const auto result = settings::parse(yaml, "f");
    RC_ASSERT(result.has_value() || !result.error().empty());
}

TEST(Settings, wantsAllOrNothingOfThePlatform)
{
    const std::string platform = "id: redeem-a-1\n"
                                 "region: vn-south\n"
                                 "dataCentre: a\n"
                                 "dataAddress: 127.0.0.1:7000\n"
                                 "peerAddress: 127.0.0.1:7001\n"
                                 "controlAddress: 127.0.0.1:7002\n"
                                 "platformStore: 127.0.0.1:7100\n"
                                 "heartbeatAddress: 127.0.0.1:7004\n"
                                 "readinessAddress: 127.0.0.1:7005\n"
                                 "backendService: redeem\n";
    EXPECT_EQ(faultsOf(platform),
              (std::vector<std::string>{"daemon.yaml: 'backendAddress' is missing"}));
    const auto whole = platform + "backendAddress: 127.0.0.1:7006\nretryBudgetRatio: 0.2\n";
    const auto result = settings::parse(whole, "f");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->platform_->service_, "redeem");
    EXPECT_EQ(result->platform_->retryBudgetRatio_, 0.2);
    EXPECT_EQ(faultsOf(whole + "log: 127.0.0.1:7000\n"),
              (std::vector<std::string>{
                      "daemon.yaml: 'log' cannot be given together with 'platformStore'"}));
    EXPECT_EQ(faultsOf(platform + "backendAddress: 127.0.0.1:1\nretryBudgetRatio: 2\n"),
              (std::vector<std::string>{
                      "daemon.yaml:12: 'retryBudgetRatio' must be a number from 0 to 1"}));
}

#include <settings/Loader.h>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace {

const std::string standaloneYaml = "id: redeem-a-1\n"
                                   "region: vn-south\n"
                                   "dataCentre: a\n"
                                   "dataAddress: 127.0.0.1:7000\n"
                                   "peerAddress: 127.0.0.1:7001\n"
                                   "controlAddress: 127.0.0.1:7002\n"
                                   "adminAddress: 127.0.0.1:7003\n"
                                   "log: 127.0.0.1:7100\n"
                                   "adminToken: t\n";

std::vector<std::string> parseFaults(const std::string &yaml)
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

TEST(Settings, loadsCompleteFile)
{
    const auto result =
            settings::parse(standaloneYaml + "seeds: [127.0.0.1:7012]\nmode: baseline\n", "f");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->id_, "redeem-a-1");
    EXPECT_EQ(result->seeds_.at(0).port_, 7012);
    EXPECT_EQ(result->mode_, settings::Mode::Baseline);
}

TEST(Settings, reportsAllFaultsWithLineAndField)
{
    const auto faults = parseFaults("id: redeem a 1\nregoin: vn\nkeyLifetimeMs: 2s\nseeds: 5\n");
    const std::vector<std::string> expected = {
            "daemon.yaml:1: 'id' must have at most 64 letters, digits, '-', '_' or '.'",
            "daemon.yaml:2: 'regoin' is not a known field",
            "daemon.yaml:3: 'keyLifetimeMs' must be a whole number from 1000 to 3600000 "
            "(milliseconds)",
            "daemon.yaml:4: 'seeds' must be a list of addresses",
    };
    ASSERT_GE(faults.size(), expected.size());
    EXPECT_TRUE(std::equal(expected.begin(), expected.end(), faults.begin()));
    EXPECT_NE(std::find(faults.begin(), faults.end(), "daemon.yaml: 'region' is missing"),
              faults.end());
}

TEST(Settings, requiresExactlyOneAdminToken)
{
    auto yaml = standaloneYaml;
    yaml.erase(yaml.find("adminToken"));
    EXPECT_EQ(parseFaults(yaml).size(), 1U);
    EXPECT_EQ(parseFaults(standaloneYaml + "adminTokenFile: no-such-file\n").size(), 2U);
}

TEST(Settings, evenLoadIsOffUnlessSetAndNeedsAdmission)
{
    EXPECT_FALSE(settings::parse(standaloneYaml, "f")->evenLoad_);
    EXPECT_TRUE(settings::parse(standaloneYaml + "evenLoad: true\n", "f")->evenLoad_);
    EXPECT_EQ(parseFaults(standaloneYaml + "evenLoad: yes\n").size(), 1U);
    EXPECT_EQ(parseFaults(standaloneYaml + "evenLoad: true\nmode: baseline\n").size(), 1U);
}

TEST(Settings, missingFileIsReported)
{
    const auto result = settings::loadFile("no-such-file.yaml");
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().at(0).text(), "no-such-file.yaml: cannot be read");
}

RC_GTEST_PROP(Settings, arbitraryTextLoadsOrFails, (const std::string &text))
{
    const auto result = settings::parse(text, "f");
    RC_ASSERT(result.has_value() || !result.error().empty());
}

RC_GTEST_PROP(Settings, corruptedFileLoadsOrFails, ())
{
    auto yaml = standaloneYaml;
    const auto offset = *rc::gen::inRange<std::size_t>(0, yaml.size());
    yaml[offset] = *rc::gen::arbitrary<char>();
    const auto result = settings::parse(yaml, "f");
    RC_ASSERT(result.has_value() || !result.error().empty());
}

TEST(Settings, requiresAllPlatformFieldsOrNone)
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
    EXPECT_EQ(parseFaults(platform),
              (std::vector<std::string>{"daemon.yaml: 'backendAddress' is missing"}));
    const auto platformYaml = platform + "backendAddress: 127.0.0.1:7006\nretryBudgetRatio: 0.2\n";
    const auto result = settings::parse(platformYaml, "f");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->platform_->service_, "redeem");
    EXPECT_EQ(result->platform_->retryBudgetRatio_, 0.2);
    EXPECT_EQ(parseFaults(platformYaml + "log: 127.0.0.1:7000\n"),
              (std::vector<std::string>{
                      "daemon.yaml: 'log' cannot be given together with 'platformStore'"}));
    EXPECT_EQ(parseFaults(platform + "backendAddress: 127.0.0.1:1\nretryBudgetRatio: 2\n"),
              (std::vector<std::string>{
                      "daemon.yaml:12: 'retryBudgetRatio' must be a number from 0 to 1"}));
}

TEST(Settings, readsHowStrictlyKeysAndAllowancesAreEnforced)
{
    const auto result = settings::parse(standaloneYaml
                                                + "revocationMs: 5000\n"
                                                  "allowanceWindowSeconds: 5\n"
                                                  "allowanceOverrun: 0.1\n"
                                                  "allowanceSlack: 20\n",
                                        "f");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->customers_,
              (settings::CustomerSettings{base::Millis(5000), base::Millis(5000), 0.1, 20}));
    EXPECT_FALSE(settings::parse(standaloneYaml + "allowanceWindowSeconds: 0\n", "f"));
    EXPECT_FALSE(settings::parse(standaloneYaml + "allowanceOverrun: 2\n", "f"));
    EXPECT_FALSE(settings::parse(standaloneYaml + "allowanceSlack: -1\n", "f"));
}

#include <dock/StatusReport.h>

#include <memory>

#include <gtest/gtest.h>

TEST(StatusReport, showsCustomersOnlyWhereTheyAreConfigured)
{
    dock::StatusReport report;
    auto snapshot = std::make_shared<metrics::Snapshot>();
    report.dataStatus_.metrics_ = snapshot;
    EXPECT_EQ(report.json().find("customers"), std::string::npos);
    snapshot->customers_ = {{.customer_ = "school-7",
                             .completeCount_ = 5,
                             .sentCount_ = 6,
                             .failures_ = {{"not-run/allowance-spent", 3}}}};
    const auto text = report.json();
    for (const auto *part : {R"("customer": "school-7")", R"("complete": 5)", R"("sent": 6)",
                             R"("not-run/allowance-spent": 3)"})
        EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
}

TEST(StatusReport, exportsRedelegationsAndBackendFailures)
{
    dock::StatusReport report;
    report.dataStatus_.redelegations_ = {{"backend-refused", 3}};
    report.dataStatus_.backendFailures_ = {{"not-run/id", 2}, {"unknown/none", 1}};
    const auto text = report.prometheus();
    for (const auto *line : {R"(fuchsiadock_delegated_again_total{allowed_by="backend-refused"} 3)",
                             R"(fuchsiadock_backend_failures_total{outcome="not-run/id"} 2)",
                             R"(fuchsiadock_backend_failures_total{outcome="unknown/none"} 1)"})
        EXPECT_NE(text.find(line), std::string::npos) << line << "\n" << text;
}

TEST(StatusReport, showsAllowancesOnlyWhereCustomersHaveThem)
{
    dock::StatusReport report;
    EXPECT_EQ(report.json().find("allowances"), std::string::npos);
    EXPECT_EQ(report.prometheus().find("allowance"), std::string::npos);
    report.dataStatus_.allowances_ = {.counts_ = {.refusedSpent_ = 3},
                                      .groups_ = {2},
                                      .usage_ = {{.customer_ = "school-7", .refused_ = 3}}};
    EXPECT_NE(report.json().find(R"("customer": "school-7")"), std::string::npos);
    const auto text = report.prometheus();
    for (const auto *line : {R"(fuchsiadock_allowance_refused_total{reason="spent"} 3)",
                             "fuchsiadock_allotter_groups 1"})
        EXPECT_NE(text.find(line), std::string::npos) << line << "\n" << text;
}

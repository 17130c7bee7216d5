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

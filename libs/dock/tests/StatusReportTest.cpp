#include <dock/StatusReport.h>

#include <gtest/gtest.h>

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

#include <dock/StatusReport.h>

#include "ThreeDaemons.h"

using namespace dock::testing;

namespace {

constexpr base::Millis serviceTime(40);

/** Three daemons that spread calls by reported load. */
class EvenLoad : public ThreeDaemons
{
protected:
    EvenLoad()
    {
        for (auto *dock : {&entry_, &first_.dock_, &second_.dock_}) {
            const auto id = (*dock)->settings_.id_;
            dock->reset();
            *dock = std::make_unique<Dock>(callerLoop_, id, 1, dock::CallInterface(), true);
        }
        serve([this](net::HttpServer &server, net::ExchangeId id, const HttpRequest &) {
            backendLoop_.reactor_.schedule(serviceTime, [&server, id] {
                server.respond(id, {.status_ = 200, .body_ = "whole"});
            });
        });
    }

    /** Makes calls at the same time and returns how many of them were completed. */
    int complete(const std::vector<HttpRequest> &requests)
    {
        std::vector<std::future<net::CallResult>> results;
        for (const auto &request : requests)
            results.push_back(caller_.start(entry_->address(), request));
        int completed = 0;
        for (auto &result : results) {
            const auto answer = result.get();
            completed += answer && outcomeOf(*answer) == "complete" ? 1 : 0;
        }
        return completed;
    }

    /** The entry learns the load of both instances; then the first one is left with one slot. */
    void shrinkFirst()
    {
        while (first_.backend_->runs() == 0 || second_.backend_->runs() == 0)
            ASSERT_EQ(complete({balance()}), 1);
        announce(*first_.dock_, first_.backend_->port(), 1);
    }

    /** Status of the entry after it has counted hand-backs; the last one if it counts none. */
    dock::DataStatus statusWithHandBacks() const
    {
        for (int i = 0; i < 150; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            const auto status = entry_->lastStatus();
            if (status.loadView_ && status.loadView_->counters_.handedBack_ > 0)
                return status;
        }
        return entry_->lastStatus();
    }

    static HttpRequest balance() { return {.method_ = "GET", .target_ = "/wallet/b"}; }
};

} // namespace

TEST_F(EvenLoad, handedBackRequestsRunOnceElsewhere)
{
    shrinkFirst();
    std::vector<HttpRequest> requests;
    for (int i = 0; i < 8; ++i) {
        requests.push_back(redeem(issueKey()));
        requests.push_back(balance());
    }
    const int runsBefore = runs();
    EXPECT_EQ(complete(requests), 16);
    EXPECT_EQ(runs() - runsBefore, 16);
    // The budgets of the calls are too small for as many retries.
    const auto status = statusWithHandBacks();
    ASSERT_TRUE(status.loadView_);
    EXPECT_GT(status.loadView_->counters_.handedBack_, 0U);
}

TEST_F(EvenLoad, statusShowsLoadWithItsAge)
{
    shrinkFirst();
    EXPECT_EQ(complete(std::vector<HttpRequest>(16, balance())), 16);
    dock::StatusReport report{.dataStatus_ = statusWithHandBacks()};
    const auto view = nlohmann::json::parse(report.json())["load"]["wallet"];
    EXPECT_EQ(view["first"]["limit"], 1);
    EXPECT_EQ(view["second"]["limit"], slots);
    EXPECT_TRUE(view["first"].contains("reportAgeMs"));
    EXPECT_NE(report.prometheus().find("fuchsiadock_handed_back_total"), std::string::npos);
    EXPECT_NE(report.prometheus().find("fuchsiadock_uneven_waits_total{service=\"wallet\"}"),
              std::string::npos);
    const auto unevenness = nlohmann::json::parse(report.json())["unevenness"]["wallet"];
    EXPECT_GE(unevenness["calls"], 16);
    EXPECT_LE(unevenness["waitedWhileOthersFree"], unevenness["waited"]);
}

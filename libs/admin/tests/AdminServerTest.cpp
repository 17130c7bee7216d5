#include <gtest/gtest.h>

#include <admin/AdminServer.h>
#include <base/Clock.h>
#include <logclient/LogClient.h>
#include <net/HttpClient.h>
#include <net/Reactor.h>
#include <nlohmann/json.hpp>
#include <note/Limits.h>
#include <note/Record.h>
#include <notesync/NoteService.h>

namespace {

using nlohmann::json;

/** In-memory log whose appends fail while it is down. */
class MemoryLog : public logclient::LogClient
{
public:
    MemoryLog(net::Reactor &reactor, std::shared_ptr<bool> isUp)
        : reactor_(reactor)
        , isUp_(std::move(isUp))
    {}

    void append(const std::string &, std::string data, logclient::AppendDone done) override
    {
        logclient::AppendResult result = records_.size();
        if (*isUp_)
            records_.push_back(std::move(data));
        else
            result = tl::unexpected(logclient::LogError(logclient::Unavailable{"down"}));
        reactor_.post([done, result] { done(result); });
    }

    void read(const std::string &, std::uint64_t from, std::size_t,
              logclient::ReadDone done) override
    {
        logclient::LogPage page{{}, 0, records_.size()};
        for (auto i = from; i < records_.size(); ++i)
            page.records_.push_back({i, records_[i]});
        reactor_.post([done, page] { done(page); });
    }

private:
    net::Reactor &reactor_;
    std::shared_ptr<bool> isUp_;
    std::vector<std::string> records_;
};

class AdminServerTest : public testing::Test
{
protected:
    void SetUp() override
    {
        notesync::SyncOptions options;
        options.selfId_ = "a";
        options.startSpread_ = base::Millis(1);
        notes_ = std::make_unique<notesync::NoteService>(
                reactor_, std::make_unique<MemoryLog>(reactor_, isLogUp_), options, [](auto) {});
        for (const char *id : {"a", "b", "c"}) {
            model::Member member;
            member.id_ = id;
            member.dataCentre_ = *id == 'c' ? "two" : "one";
            member.revision_ = *id == 'b' ? 0 : 1;
            members_->push_back(member);
        }
        admin::AdminSources sources{[this] { return members_; },
                                    [] {
                                        return std::vector<admin::RevisionCount>{
                                                {"one", 1, 1}, {"one", 0, 1}, {"two", 1, 1}};
                                    },
                                    [] { return R"({"refused":3})"; }, [] { return "up 1\n"; },
                                    [] {
                                        return "{}";
                                    }};
        auto server =
                admin::AdminServer::start(reactor_, {{"127.0.0.1", 0}, token_}, *notes_, sources);
        ASSERT_TRUE(server);
        server_ = std::move(*server);
        const auto end = base::monotonicNow() + base::Millis(30000);
        while (!notes_->hasConfig() && base::monotonicNow() < end)
            reactor_.runFor(base::Millis(20));
    }

    net::HttpResponse call(const std::string &method, const std::string &target,
                           const std::string &body = "", const std::string &token = "s3cret")
    {
        std::optional<net::CallResult> result;
        net::HttpRequest request{method, target, {{"authorization", "Bearer " + token}}, body};
        client_.send({"127.0.0.1", server_->port()}, request, base::Millis(30000),
                     [&](net::CallResult r) { result = std::move(r); });
        while (!result)
            reactor_.runFor(base::Millis(20));
        return result->value_or(net::HttpResponse{0, {}, ""});
    }

    const std::string token_ = "s3cret";
    net::Reactor reactor_;
    std::shared_ptr<bool> isLogUp_ = std::make_shared<bool>(true);
    std::shared_ptr<std::vector<model::Member>> members_ =
            std::make_shared<std::vector<model::Member>>();
    std::unique_ptr<notesync::NoteService> notes_;
    std::unique_ptr<admin::AdminServer> server_;
    net::HttpClient client_{reactor_};
};

const std::string addWallet = "id: n1\nbase: 0\nadded: {services: [wallet]}\n";

TEST_F(AdminServerTest, PublishesNotesAndReportsWhereTheyAreInForce)
{
    const auto published = call("POST", "/v1/notes", addWallet);
    EXPECT_EQ(published.status_, 200);
    EXPECT_EQ(json::parse(published.body_)["outcome"], "accepted");
    EXPECT_EQ(call("POST", "/v1/notes", addWallet).body_, published.body_);

    const auto conflict = call("POST", "/v1/notes", "id: n2\nbase: 0\nadded: {services: [wallet]}");
    EXPECT_EQ(conflict.status_, 409);
    EXPECT_NE(conflict.body_.find("\\\"n1\\\""), std::string::npos) << conflict.body_;

    const auto status = json::parse(call("GET", "/v1/notes/n1").body_);
    EXPECT_EQ(status["inForce"],
              json::parse(R"([{"dataCentre":"one","daemons":2,"daemonsInForce":1},)"
                          R"({"dataCentre":"two","daemons":1,"daemonsInForce":1}])"));
    EXPECT_EQ(json::parse(call("GET", "/v1/notes").body_)["notes"].size(), 2U);
    EXPECT_EQ(call("GET", "/v1/notes/other").status_, 404);
    EXPECT_EQ(note::decodeState(call("GET", "/v1/state").body_), *notes_->state());
}

TEST_F(AdminServerTest, ReportsFaultsAndFailedPublication)
{
    const auto bad = call("POST", "/v1/notes", "id: n\nbase: 0\nadd: {}\n");
    EXPECT_EQ(bad.status_, 400);
    EXPECT_EQ(json::parse(bad.body_)["faults"][0]["line"], 3);
    EXPECT_GE(call("POST", "/v1/notes", std::string(note::limits::noteBytes + 1, '#')).status_,
              400);
    *isLogUp_ = false;
    EXPECT_EQ(call("POST", "/v1/notes", addWallet).status_, 503);
}

TEST_F(AdminServerTest, RequestsWithoutTokenAreUnauthorized)
{
    for (const auto *token : {"", "s3cre", "s3cret1", "S3cret"}) {
        for (const auto *target : {"/v1/notes", "/v1/state", "/v1/status", "/metrics", "/other"})
            EXPECT_EQ(call("GET", target, "", token).status_, 401) << token;
        EXPECT_EQ(call("POST", "/v1/notes", addWallet, token).status_, 401);
    }
    EXPECT_FALSE(notes_->outcome("n1"));
    EXPECT_FALSE(admin::AdminServer::start(reactor_, {{"127.0.0.1", 0}, ""}, *notes_, {}));
}

TEST_F(AdminServerTest, ServesStatusMetricsAndHistograms)
{
    const auto status = json::parse(call("GET", "/v1/status").body_);
    EXPECT_EQ(status["daemon"]["refused"], 3);
    EXPECT_EQ(status["notes"]["hasConfig"], true);
    EXPECT_EQ(call("GET", "/metrics").body_, "up 1\n");
    EXPECT_EQ(call("GET", "/v1/histograms").body_, "{}");
    EXPECT_EQ(json::parse(call("GET", "/v1/members").body_)["members"].size(), 3U);
    EXPECT_EQ(call("GET", "/v2").status_, 404);
    EXPECT_EQ(call("DELETE", "/v1/notes").status_, 405);
}

} // namespace

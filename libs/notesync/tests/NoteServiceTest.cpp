#include <gtest/gtest.h>

#include <base/Clock.h>
#include <logclient/LogClient.h>
#include <net/HttpServer.h>
#include <net/Reactor.h>
#include <notesync/NoteService.h>

namespace {

/** In-memory log shared by several clients on one reactor. */
class MemoryLog : public logclient::LogClient
{
public:
    MemoryLog(net::Reactor &reactor, std::shared_ptr<std::vector<std::string>> records,
              std::shared_ptr<bool> isReachable)
        : reactor_(reactor)
        , records_(std::move(records))
        , isReachable_(std::move(isReachable))
    {}

    void append(const std::string &, std::string data, logclient::AppendDone done) override
    {
        records_->push_back(std::move(data));
        reactor_.post([done, offset = records_->size() - 1] { done(offset); });
    }

    void read(const std::string &, std::uint64_t from, std::size_t,
              logclient::ReadDone done) override
    {
        if (!*isReachable_) {
            reactor_.post([done] {
                done(tl::unexpected(logclient::LogError(logclient::Unavailable{"partitioned"})));
            });
            return;
        }
        logclient::LogPage page{{}, 0, records_->size()};
        for (auto i = from; i < records_->size(); ++i)
            page.records_.push_back({i, (*records_)[i]});
        reactor_.post([done, page] { done(page); });
    }

private:
    net::Reactor &reactor_;
    std::shared_ptr<std::vector<std::string>> records_;
    std::shared_ptr<bool> isReachable_;
};

struct Daemon
{
    std::unique_ptr<net::HttpServer> server_;
    std::unique_ptr<notesync::NoteService> service_;
    std::shared_ptr<const model::Config> config_;
    std::shared_ptr<bool> isLogReachable_ = std::make_shared<bool>(true);
};

void startDaemon(Daemon &daemon, net::Reactor &reactor, const std::string &id,
                 const std::shared_ptr<std::vector<std::string>> &records)
{
    notesync::SyncOptions options;
    options.selfId_ = id;
    options.dataCentre_ = "dc";
    options.startSpread_ = base::Millis(10);
    daemon.service_ = std::make_unique<notesync::NoteService>(
            reactor, std::make_unique<MemoryLog>(reactor, records, daemon.isLogReachable_), options,
            [&daemon](auto config) { daemon.config_ = std::move(config); });
    net::HttpServerOptions server;
    server.listen_ = {"127.0.0.1", 0};
    auto started = net::HttpServer::start(
            reactor, server, [&daemon](net::ExchangeId exchange, const net::HttpRequest &request) {
                const auto answer = daemon.service_->handleControlRequest(request);
                daemon.server_->respond(exchange, answer.value_or(net::HttpResponse{404, {}, ""}));
            });
    ASSERT_TRUE(started);
    daemon.server_ = std::move(*started);
}

void runUntil(net::Reactor &reactor, const std::function<bool()> &isDone)
{
    const auto end = base::monotonicNow() + base::Millis(30000);
    while (!isDone() && base::monotonicNow() < end)
        reactor.runFor(base::Millis(20));
}

TEST(NoteService, publishedNoteReachesADaemonWithoutAccessToTheLog)
{
    net::Reactor reactor;
    const auto records = std::make_shared<std::vector<std::string>>();
    Daemon a;
    Daemon b;
    *b.isLogReachable_ = false;
    startDaemon(a, reactor, "a", records);
    startDaemon(b, reactor, "b", records);
    auto members = std::make_shared<std::vector<model::Member>>(2);
    (*members)[0].id_ = "a";
    (*members)[0].controlAddress_ = {"127.0.0.1", a.server_->port()};
    (*members)[1].id_ = "b";
    (*members)[1].controlAddress_ = {"127.0.0.1", b.server_->port()};
    for (auto &member : *members)
        member.dataCentre_ = "dc";
    a.service_->setMembers(members);
    b.service_->setMembers(members);
    runUntil(reactor, [&] { return a.config_ && b.config_; });

    EXPECT_FALSE(a.service_->publish("id: [", [](const auto &, const auto &) { FAIL(); }));
    std::optional<notesync::PublishResult> result;
    ASSERT_TRUE(a.service_->publish("id: n\nbase: 0\nadded: {services: [wallet]}\n",
                                    [&](const auto &, const auto &r) { result = r; }));
    runUntil(reactor, [&] { return result && b.service_->revision() > 0 && b.config_; });
    ASSERT_TRUE(result && std::holds_alternative<notesync::Decided>(*result));
    EXPECT_TRUE(std::get<notesync::Decided>(*result).outcome_.accepted_);
    EXPECT_TRUE(b.config_->services_.contains("wallet"));
    EXPECT_EQ(b.service_->outcome("n"), a.service_->outcome("n"));

    EXPECT_EQ(a.service_->handleControlRequest({"GET", "/notes?next=x", {}, ""})->status_, 400);
    EXPECT_EQ(a.service_->handleControlRequest({"POST", "/notes", {}, "rubbish"})->status_, 400);
    EXPECT_FALSE(a.service_->handleControlRequest({"GET", "/other", {}, ""}));
}

} // namespace

#include <gossip/GossipService.h>

#include <gtest/gtest.h>
#include <net/HttpServer.h>
#include <net/Reactor.h>

using base::Millis;

namespace {

/** A GossipService with the TCP server of its control port. */
struct Daemon
{
    std::unique_ptr<gossip::GossipService> service_;
    std::unique_ptr<net::HttpServer> server_;
    std::size_t memberCount_ = 1;
};

model::Address loopback(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

std::unique_ptr<Daemon> startDaemon(net::Reactor &reactor, const std::string &id,
                                    std::vector<model::Address> seeds, const std::string &secret)
{
    auto daemon = std::make_unique<Daemon>();
    auto *raw = daemon.get();
    // Binds TCP first: the chosen port is more likely to be in use for TCP than for UDP.
    auto server = net::HttpServer::start(
            reactor, {loopback(0)}, [raw](net::ExchangeId exchange, net::HttpRequest request) {
                raw->server_->respond(exchange,
                                      raw->service_->handleControlRequest(request).value_or(
                                              net::HttpResponse{404, {}, {}}));
            });
    EXPECT_TRUE(server.has_value());
    daemon->server_ = std::move(*server);
    gossip::Options options;
    options.self_ = {id, 0, "region", "dc", loopback(1), loopback(daemon->server_->port())};
    options.seeds_ = std::move(seeds);
    options.clusterSecret_ = secret;
    auto service = gossip::GossipService::start(
            reactor, options,
            {[raw](const auto &members) { raw->memberCount_ = members->size(); }, {}});
    EXPECT_TRUE(service.has_value());
    daemon->service_ = std::move(*service);
    return daemon;
}

bool runUntil(net::Reactor &reactor, const std::function<bool()> &condition)
{
    constexpr int maxIterations = 3000;
    for (int i = 0; i < maxIterations && !condition(); ++i)
        reactor.runFor(Millis(10));
    return condition();
}

} // namespace

TEST(GossipService, daemonsJoinAndLeave)
{
    net::Reactor reactor;
    const auto first = startDaemon(reactor, "a", {}, "secret");
    const auto seed = first->service_->self().controlAddress_;
    const auto second = startDaemon(reactor, "b", {seed}, "secret");
    auto third = startDaemon(reactor, "c", {seed}, "secret");
    ASSERT_TRUE(runUntil(reactor, [&] {
        return first->memberCount_ == 3 && second->memberCount_ == 3 && third->memberCount_ == 3;
    }));
    EXPECT_TRUE(third->service_->hasJoined());
    third->service_->updateSelf(model::ServingState::Draining, "wallet", 4, 7);
    EXPECT_TRUE(runUntil(reactor, [&] {
        const auto members = first->service_->members();
        return members->back().serving_ == model::ServingState::Draining
               && first->service_->highestRevision() == 7;
    }));
    third->service_->leave();
    third.reset();
    EXPECT_TRUE(runUntil(reactor,
                         [&] { return first->memberCount_ == 2 && second->memberCount_ == 2; }));
}

TEST(GossipService, rejectsDaemonsWithAnotherSecret)
{
    net::Reactor reactor;
    const auto first = startDaemon(reactor, "a", {}, "secret");
    const auto seed = first->service_->self().controlAddress_;
    const auto authenticated = startDaemon(reactor, "b", {seed}, "secret");
    const auto unauthenticated = startDaemon(reactor, "x", {seed}, "another secret");
    ASSERT_TRUE(runUntil(reactor, [&] { return first->memberCount_ == 2; }));
    EXPECT_TRUE(runUntil(reactor, [&] { return unauthenticated->service_->isIsolated(); }));
    EXPECT_EQ(first->memberCount_, 2U);
    EXPECT_EQ(first->service_->handleControlRequest({"GET", "/members", {}, {}})->status_, 403);
}

TEST(GossipService, startFailsWhenThePortIsInUse)
{
    net::Reactor reactor;
    const auto first = startDaemon(reactor, "a", {}, {});
    gossip::Options options;
    options.self_ = first->service_->self();
    const auto second = gossip::GossipService::start(reactor, options, {});
    ASSERT_FALSE(second.has_value());
    EXPECT_EQ(second.error().code_, "bind-failed");
}

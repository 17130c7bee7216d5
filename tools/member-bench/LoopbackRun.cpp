#include <atomic>
#include <cstdio>
#include <functional>
#include <thread>

#include <base/Clock.h>
#include <gossip/GossipService.h>
#include <net/HttpServer.h>
#include <net/Reactor.h>

#include "Runs.h"
#include "Usage.h"

using base::Millis;

namespace {

constexpr unsigned threadCount = 4;

/** A service with its control port. */
struct Daemon
{
    std::unique_ptr<gossip::GossipService> service_;
    std::unique_ptr<net::HttpServer> server_;
    std::atomic<std::size_t> listed_ = 1;
    std::atomic<std::size_t> draining_ = 0;
    std::atomic<std::uint64_t> bytes_ = 0;
    std::atomic<std::uint64_t> datagrams_ = 0;
};

class LoopbackRun
{
public:
    explicit LoopbackRun(const RunOptions &options)
        : options_(options)
        , daemons_(options.members_)
    {
        for (auto &daemon : daemons_)
            daemon = std::make_unique<Daemon>();
    }

    void run()
    {
        const auto memory = residentBytes();
        const auto begin = base::monotonicNow();
        for (unsigned t = 0; t < threadCount; ++t)
            threads_.emplace_back([this, t] { reactors_[t].run(); });
        for (unsigned i = 0; i < options_.members_; ++i)
            post(i, [this, i] { start(i); });
        report("start of all: time to converge",
               waitFor(begin,
                       [&](const Daemon &daemon) { return daemon.listed_ == options_.members_; }),
               "s");
        std::this_thread::sleep_for(std::chrono::seconds(10));
        report("memory of a daemon with its sockets, no code",
               static_cast<double>(residentBytes() - memory) / options_.members_, "bytes");
        steady();
        drain();
        crash();
        stop();
    }

private:
    void post(unsigned i, std::function<void()> function)
    {
        reactors_[i % threadCount].post(std::move(function));
    }

    model::Address control(unsigned i) const
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(options_.firstPort_ + i)};
    }

    void start(unsigned i)
    {
        auto &daemon = *daemons_[i];
        gossip::Options options;
        options.self_ = {"d" + std::to_string(i),
                         0,
                         "region",
                         "dc" + std::to_string(i % options_.dataCentres_),
                         control(i),
                         control(i)};
        options.seeds_ = {control(0), control(1), control(2)};
        options.clusterSecret_ = "secret";
        auto service = gossip::GossipService::start(
                reactors_[i % threadCount], options,
                {[&daemon](const auto &members) {
                     daemon.listed_ = members->size();
                     std::size_t draining = 0;
                     for (const auto &member : *members)
                         draining += member.serving_ == model::ServingState::Draining;
                     daemon.draining_ = draining;
                 },
                 {}});
        auto server = net::HttpServer::start(
                reactors_[i % threadCount], {control(i)},
                [&daemon](net::ExchangeId exchange, const net::HttpRequest &request) {
                    daemon.server_->respond(exchange,
                                            *daemon.service_->handleControlRequest(request));
                });
        if (!service || !server) {
            std::printf("cannot bind %s\n", control(i).text().c_str());
            std::exit(1);
        }
        daemon.service_ = std::move(*service);
        daemon.server_ = std::move(*server);
    }

    template<typename Condition>
    double waitFor(Millis begin, Condition holds)
    {
        const Millis limit(120000);
        while (base::monotonicNow() - begin < limit) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            bool isDone = true;
            for (unsigned i = 0; i < options_.members_; ++i)
                isDone = isDone && (i == stopped_ || holds(*daemons_[i]));
            if (isDone)
                return (base::monotonicNow() - begin).fractional() / 1000;
        }
        return -1;
    }

    void readCounters()
    {
        std::atomic<unsigned> waiting = options_.members_;
        for (unsigned i = 0; i < options_.members_; ++i) {
            post(i, [this, i, &waiting] {
                const auto counters = daemons_[i]->service_->counters();
                daemons_[i]->bytes_ = counters.bytesSent_;
                daemons_[i]->datagrams_ = counters.datagramsSent_;
                --waiting;
            });
        }
        while (waiting > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    void steady()
    {
        readCounters();
        std::vector<std::uint64_t> bytes;
        std::uint64_t datagrams = 0;
        for (const auto &daemon : daemons_) {
            bytes.push_back(daemon->bytes_);
            datagrams += daemon->datagrams_;
        }
        const auto processor = processorTime();
        std::this_thread::sleep_for(std::chrono::seconds(options_.seconds_));
        const auto used = processorTime() - processor;
        readCounters();
        double sum = 0;
        double most = 0;
        double sent = -static_cast<double>(datagrams);
        for (unsigned i = 0; i < options_.members_; ++i) {
            const auto difference = static_cast<double>(daemons_[i]->bytes_ - bytes[i]);
            sum += difference;
            most = std::max(most, difference);
            sent += static_cast<double>(daemons_[i]->datagrams_);
        }
        const double seconds = options_.seconds_;
        report("processor time of a daemon", used.fractional() / seconds / options_.members_,
               "ms/s");
        report("sent by a daemon, mean", sum / seconds / options_.members_, "bytes/s");
        report("sent by a daemon, most (relay)", most / seconds, "bytes/s");
        report("datagrams sent by a daemon, mean", sent / seconds / options_.members_, "1/s");
    }

    void drain()
    {
        const auto last = options_.members_ - 1;
        const auto begin = base::monotonicNow();
        post(last, [this, last] {
            daemons_[last]->service_->updateSelf(model::ServingState::Draining, "wallet", 1, 0);
        });
        report("drain until known everywhere",
               waitFor(begin, [](const Daemon &daemon) { return daemon.draining_ == 1; }), "s");
    }

    void crash()
    {
        stopped_ = options_.members_ - 1;
        const auto begin = base::monotonicNow();
        post(stopped_, [this] {
            daemons_[stopped_]->server_.reset();
            daemons_[stopped_]->service_.reset();
        });
        report("crash until known everywhere",
               waitFor(begin,
                       [&](const Daemon &daemon) {
                           return daemon.listed_ == options_.members_ - 1;
                       }),
               "s");
    }

    void stop()
    {
        for (auto &reactor : reactors_)
            reactor.stop();
        for (auto &thread : threads_)
            thread.join();
    }

    RunOptions options_;
    std::array<net::Reactor, threadCount> reactors_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::vector<std::thread> threads_;
    unsigned stopped_ = UINT32_MAX;
};

} // namespace

void runLoopback(const RunOptions &options)
{
    LoopbackRun(options).run();
}

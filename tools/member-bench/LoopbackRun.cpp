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

/** Gossip service with its control port. */
struct Daemon
{
    std::unique_ptr<gossip::GossipService> service_;
    std::unique_ptr<net::HttpServer> server_;
    std::atomic<std::size_t> memberCount_ = 1;
    std::atomic<std::size_t> drainingCount_ = 0;
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
                       [&](const Daemon &daemon) {
                           return daemon.memberCount_ == options_.members_;
                       }),
               "s");
        std::this_thread::sleep_for(std::chrono::seconds(10));
        report("memory of a daemon with its sockets, no code",
               static_cast<double>(residentBytes() - memory) / options_.members_, "bytes");
        measureSteadyState();
        measureDrain();
        measureCrash();
        stop();
    }

private:
    void post(unsigned i, std::function<void()> function)
    {
        reactors_[i % threadCount].post(std::move(function));
    }

    model::Address controlAddress(unsigned i) const
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
                         controlAddress(i),
                         controlAddress(i)};
        options.seeds_ = {controlAddress(0), controlAddress(1), controlAddress(2)};
        options.clusterSecret_ = "secret";
        auto service = gossip::GossipService::start(
                reactors_[i % threadCount], options,
                {[&daemon](const auto &members) {
                     daemon.memberCount_ = members->size();
                     std::size_t draining = 0;
                     for (const auto &member : *members)
                         draining += member.serving_ == model::ServingState::Draining;
                     daemon.drainingCount_ = draining;
                 },
                 {}});
        auto server = net::HttpServer::start(
                reactors_[i % threadCount], {controlAddress(i)},
                [&daemon](net::ExchangeId exchange, const net::HttpRequest &request) {
                    daemon.server_->respond(exchange,
                                            *daemon.service_->handleControlRequest(request));
                });
        if (!service || !server) {
            std::printf("cannot bind %s\n", controlAddress(i).text().c_str());
            std::exit(1);
        }
        daemon.service_ = std::move(*service);
        daemon.server_ = std::move(*server);
    }

    template<typename Condition>
    double waitFor(Millis begin, Condition condition)
    {
        const Millis limit(120000);
        while (base::monotonicNow() - begin < limit) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            bool isDone = true;
            for (unsigned i = 0; i < options_.members_; ++i)
                isDone = isDone && (i == crashedIndex_ || condition(*daemons_[i]));
            if (isDone)
                return (base::monotonicNow() - begin).fractional() / 1000;
        }
        return -1;
    }

    void readCounters()
    {
        std::atomic<unsigned> pendingReads = options_.members_;
        for (unsigned i = 0; i < options_.members_; ++i) {
            post(i, [this, i, &pendingReads] {
                const auto counters = daemons_[i]->service_->counters();
                daemons_[i]->bytes_ = counters.bytesSent_;
                daemons_[i]->datagrams_ = counters.datagramsSent_;
                --pendingReads;
            });
        }
        while (pendingReads > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    void measureSteadyState()
    {
        readCounters();
        std::vector<std::uint64_t> bytes;
        std::uint64_t datagrams = 0;
        for (const auto &daemon : daemons_) {
            bytes.push_back(daemon->bytes_);
            datagrams += daemon->datagrams_;
        }
        const auto processor = cpuTime();
        std::this_thread::sleep_for(std::chrono::seconds(options_.seconds_));
        const auto used = cpuTime() - processor;
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

    void measureDrain()
    {
        const auto last = options_.members_ - 1;
        const auto begin = base::monotonicNow();
        post(last, [this, last] {
            daemons_[last]->service_->updateSelf(model::ServingState::Draining, "wallet", 1, 0);
        });
        report("drain until known everywhere",
               waitFor(begin, [](const Daemon &daemon) { return daemon.drainingCount_ == 1; }),
               "s");
    }

    void measureCrash()
    {
        crashedIndex_ = options_.members_ - 1;
        const auto begin = base::monotonicNow();
        post(crashedIndex_, [this] {
            daemons_[crashedIndex_]->server_.reset();
            daemons_[crashedIndex_]->service_.reset();
        });
        report("crash until known everywhere",
               waitFor(begin,
                       [&](const Daemon &daemon) {
                           return daemon.memberCount_ == options_.members_ - 1;
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
    unsigned crashedIndex_ = UINT32_MAX;
};

} // namespace

void runLoopback(const RunOptions &options)
{
    LoopbackRun(options).run();
}

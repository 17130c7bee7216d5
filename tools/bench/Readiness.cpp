#include <Readiness.h>

#include <set>
#include <string>

#include <Cluster.h>
#include <Protocol.h>
#include <base/Clock.h>
#include <net/HttpClient.h>
#include <net/Reactor.h>

namespace bench {

namespace {

constexpr base::Millis readyTimeout(40'000);
constexpr base::Millis probeTimeout(1000);
constexpr base::Millis probeInterval(200);

/** Call through a daemon to a service. */
struct Probe
{
    model::Address daemon_;
    std::string service_;

    auto operator<=>(const Probe &) const = default;
};

std::set<Probe> probesOf(const Cluster &cluster)
{
    std::set<Probe> probes;
    for (const ClusterInstance &daemon : cluster.instances()) {
        for (const ClusterInstance &backend : cluster.instances()) {
            probes.insert({daemon.data_, backend.service_});
        }
    }
    return probes;
}

void sendProbe(net::HttpClient &client, std::set<Probe> &pending, const Probe &probe)
{
    net::HttpRequest request{"GET", "/" + probe.service_ + "/ready", {}, ""};
    client.send(probe.daemon_, std::move(request), probeTimeout,
                [&pending, probe](const net::CallResult &result) {
                    if (result
                        && net::headerValue(result->headers_, protocol::outcome)
                                   == protocol::complete) {
                        pending.erase(probe);
                    }
                });
}

} // namespace

base::Result<void> waitUntilServing(const Cluster &cluster)
{
    net::Reactor reactor;
    std::set<Probe> pending = probesOf(cluster);
    net::HttpClient client(reactor);
    const base::Millis deadline = base::monotonicNow() + readyTimeout;
    while (!pending.empty() && base::monotonicNow() < deadline) {
        const std::set<Probe> round = pending;
        for (const Probe &probe : round) {
            sendProbe(client, pending, probe);
        }
        reactor.runFor(probeInterval);
    }
    if (pending.empty()) {
        return {};
    }
    return base::fail("not-ready", "no complete answer from service " + pending.begin()->service_
                                           + " through daemon " + pending.begin()->daemon_.text());
}

} // namespace bench

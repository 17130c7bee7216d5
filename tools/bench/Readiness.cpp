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
constexpr base::Millis roundPause(200);

/** Calls that have not completed yet, as daemon and service. */
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

void sendProbe(net::HttpClient &client, std::set<Probe> &open, const Probe &probe)
{
    net::HttpRequest request{"GET", "/" + probe.service_ + "/ready", {}, ""};
    client.send(probe.daemon_, std::move(request), probeTimeout,
                [&open, probe](const net::CallResult &result) {
                    if (result
                        && net::headerValue(result->headers_, protocol::outcome)
                                   == protocol::complete) {
                        open.erase(probe);
                    }
                });
}

} // namespace

base::Result<void> waitUntilServing(const Cluster &cluster)
{
    net::Reactor reactor;
    std::set<Probe> open = probesOf(cluster);
    net::HttpClient client(reactor);
    const base::Millis until = base::monotonicNow() + readyTimeout;
    while (!open.empty() && base::monotonicNow() < until) {
        const std::set<Probe> round = open;
        for (const Probe &probe : round) {
            sendProbe(client, open, probe);
        }
        reactor.runFor(roundPause);
    }
    if (open.empty()) {
        return {};
    }
    return base::fail("not-ready", "no whole answer of " + open.begin()->service_ + " through "
                                           + open.begin()->daemon_.text());
}

} // namespace bench

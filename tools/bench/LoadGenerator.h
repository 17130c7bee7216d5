#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include <KeyStore.h>
#include <LoadOptions.h>
#include <base/Random.h>
#include <bench/FinishedRequest.h>
#include <net/HttpClient.h>

namespace net {
class Reactor;
}

namespace bench {

/**
 * Open-loop load generator with seeded Poisson arrivals.
 *
 * Retries requests according to the options. A retry reuses the idempotency key, unless the outcome
 * of the previous attempt was "not-run": then it takes a new key.
 * Use on the reactor's thread only.
 */
class LoadGenerator
{
public:
    using Finished = std::function<void(const FinishedRequest &)>;

    LoadGenerator(net::Reactor &reactor, LoadOptions options, Finished onFinished);

    /** Starts the arrivals. */
    void start();

    /** Stops the arrivals; pending requests continue. */
    void stop();

    /** Sets the number of new requests per second. */
    void setRate(double rate);

    /** Sets the daemons that receive further attempts. */
    void setDaemons(std::vector<model::Address> daemons);

    /** Number of unfinished requests. */
    std::size_t pending() const { return pending_.size(); }

private:
    struct Pending
    {
        FinishedRequest record_;
        net::HttpRequest request_;
        std::string key_;
        std::uint32_t keyRefreshes_ = 0; ///< uncounted attempts that only returned a key
    };

    const RequestClass &classOf(const Pending &pending) const;
    const model::Address &randomDaemon();
    void scheduleArrival();
    void onArrivalDue();
    void createRequest();
    void attempt(std::uint64_t number);
    void onAnswer(std::uint64_t number, const net::CallResult &result);
    void storeNextKey(const Pending &pending, const net::CallResult &result);
    void finishOrRetry(std::uint64_t number, RequestOutcome outcome);

    net::Reactor &reactor_;
    LoadOptions options_;
    Finished onFinished_;
    base::Random random_;
    net::HttpClient client_;
    KeyStore keys_;
    std::unordered_map<std::uint64_t, Pending> pending_;
    std::uint64_t lastNumber_ = 0;
    base::Millis nextArrival_;
    bool stopped_ = false;
};

} // namespace bench

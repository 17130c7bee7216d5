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
 * Sends requests at seeded Poisson arrivals, whether or not earlier ones were answered.
 *
 * Each request is retried by the caller as the options say. A retry repeats the idempotency key,
 * unless the answer said that the request did not run: then it takes a fresh one.
 * For the reactor's thread.
 */
class LoadGenerator
{
public:
    using Finished = std::function<void(const FinishedRequest &)>;

    LoadGenerator(net::Reactor &reactor, LoadOptions options, Finished onFinished);

    /** Starts the arrivals. */
    void start();

    /** Ends the arrivals; requests in progress go on. */
    void stop();

    /** New requests a second from now on. */
    void setRate(double rate);

    /** Daemons that the following attempts go to. */
    void setDaemons(std::vector<model::Address> daemons);

    /** Requests that have not finished. */
    std::size_t pending() const { return pending_.size(); }

private:
    struct Pending
    {
        FinishedRequest record_;
        net::HttpRequest request_;
        std::string key_;
        std::uint32_t keyFetches_ = 0; ///< attempts that only brought in a key
    };

    const RequestClass &classOf(const Pending &pending) const;
    const model::Address &anyDaemon();
    void scheduleArrival();
    void arriveDue();
    void arrive();
    void attempt(std::uint64_t number);
    void onAnswer(std::uint64_t number, const net::CallResult &result);
    void keepNextKey(const Pending &pending, const net::CallResult &result);
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

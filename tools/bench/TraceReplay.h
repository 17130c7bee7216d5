#pragma once

#include <map>
#include <string>
#include <vector>

#include <base/Error.h>
#include <bench/FinishedRequest.h>
#include <bench/TraceLine.h>
#include <model/Address.h>
#include <net/HttpClient.h>
#include <net/Reactor.h>

namespace bench {

/**
 * Sends each attempt of a trace at its recorded time, to the daemons round-robin.
 *
 * Attempts of a key group carry the same key, replaced by the next key of a not-run answer.
 */
class TraceReplay
{
public:
    TraceReplay(const std::vector<TraceLine> &lines, std::vector<model::Address> daemons);

    /** Fetches the keys, sends all lines and waits for the results; fails with "no-key". */
    base::Result<std::vector<FinishedRequest>> run();

private:
    void fetchKeys();
    void fetchKey(const TraceLine &line, const model::Address &daemon);
    void onKey(const std::string &group, std::string key);
    void sendAll();
    void sendAt(base::Millis start, std::size_t index);
    void send(std::size_t index);
    net::HttpRequest requestOf(const TraceLine &line, const std::string &id) const;
    void onAnswer(const TraceLine &line, FinishedRequest record, const net::HttpRequest &request,
                  const net::CallResult &result);

    net::Reactor reactor_;
    net::HttpClient client_;
    const std::vector<TraceLine> &lines_;
    std::vector<model::Address> daemons_;
    std::map<std::string, std::string> keys_; ///< by key group
    std::vector<FinishedRequest> finished_;
    std::string groupWithoutKey_; ///< key group whose fetch failed; empty: none
    std::size_t pendingCount_ = 0;
};

/** Best attempt of each request; a wrong or failed attempt takes precedence. */
std::vector<FinishedRequest> bestAttempts(const std::vector<FinishedRequest> &attempts);

/** Outcomes of requests, by class name. */
std::map<std::string, std::vector<RequestOutcome>>
outcomesByClass(const std::vector<TraceLine> &lines, const std::vector<FinishedRequest> &requests);

} // namespace bench

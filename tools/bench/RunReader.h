#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <model/Address.h>
#include <net/HttpClient.h>

namespace net {
class Reactor;
}

namespace bench {

/** Reads the runs of at-most-once requests from backend servers and sums them by request id. */
class RunReader
{
public:
    RunReader(net::Reactor &reactor, net::HttpClient &client);

    /**
     * Reads one backend server; retries while all its connections are in use. Calls done whether
     * or not the server answered.
     */
    void read(const model::Address &backend, std::function<void()> done);

    /** Run counts by request id, summed over all instances read. */
    const std::map<std::string, std::uint32_t> &runs() const { return runs_; }

    /** Number of backend servers that could not be read. */
    std::uint32_t unreadInstances() const { return unreadInstances_; }

private:
    void attempt(const model::Address &backend, int number, std::function<void()> done);
    bool add(const net::CallResult &result);

    net::Reactor &reactor_;
    net::HttpClient &client_;
    std::map<std::string, std::uint32_t> runs_;
    std::uint32_t unreadInstances_ = 0;
};

} // namespace bench

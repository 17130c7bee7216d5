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

/** Reads from backend servers which requests that must run once they ran, and adds them up. */
class RunReader
{
public:
    RunReader(net::Reactor &reactor, net::HttpClient &client);

    /**
     * Reads one backend server, some times over while all its connections are taken; done is called
     * whether or not it answered.
     */
    void read(const model::Address &backend, std::function<void()> done);

    /** Runs by request, over all instances read. */
    const std::map<std::string, std::uint32_t> &runs() const { return runs_; }

    /** Backend servers that did not answer. */
    std::uint32_t unread() const { return unread_; }

private:
    void attempt(const model::Address &backend, int number, std::function<void()> done);
    bool add(const net::CallResult &result);

    net::Reactor &reactor_;
    net::HttpClient &client_;
    std::map<std::string, std::uint32_t> runs_;
    std::uint32_t unread_ = 0;
};

} // namespace bench

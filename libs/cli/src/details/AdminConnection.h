#pragma once

#include <string>

#include <base/Millis.h>
#include <model/Address.h>
#include <net/CallResult.h>
#include <net/HttpClient.h>
#include <net/Reactor.h>

namespace cli::details {

/** Blocking calls to the administration API of one daemon. */
class AdminConnection
{
public:
    AdminConnection(model::Address address, std::string token);

    net::CallResult call(const std::string &method, const std::string &target,
                         std::string body = "");

    /** Runs the reactor for the given time. */
    void wait(base::Millis time);

    const model::Address &address() const { return address_; }

private:
    const model::Address address_;
    const std::string token_;
    net::Reactor reactor_;
    net::HttpClient client_;
};

} // namespace cli::details

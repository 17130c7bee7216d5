#include "details/AdminConnection.h"

#include <optional>
#include <utility>

#include <base/Clock.h>

namespace cli::details {

namespace {
constexpr base::Millis callTimeout(15000);
constexpr base::Millis pollInterval(10);
} // namespace

AdminConnection::AdminConnection(model::Address address, std::string token)
    : address_(std::move(address))
    , token_(std::move(token))
    , client_(reactor_)
{}

net::CallResult AdminConnection::call(const std::string &method, const std::string &target,
                                      std::string body)
{
    std::optional<net::CallResult> result;
    net::HttpRequest request{
            method, target, {{"Authorization", "Bearer " + token_}}, std::move(body)};
    client_.send(address_, std::move(request), callTimeout,
                 [&](net::CallResult answer) { result = std::move(answer); });
    while (!result)
        reactor_.runFor(pollInterval);
    return std::move(*result);
}

void AdminConnection::wait(base::Millis time)
{
    const auto end = base::monotonicNow() + time;
    while (base::monotonicNow() < end)
        reactor_.runFor(end - base::monotonicNow());
}

} // namespace cli::details

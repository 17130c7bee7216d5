#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <base/Millis.h>
#include <membership/Codec.h>
#include <net/HttpRequest.h>
#include <net/HttpResponse.h>

namespace gossip {

/** Path and header of the transfer of the full state by HTTP. */
inline constexpr std::string_view statePath = "/members";
inline constexpr std::string_view dataCentreQuery = "?dataCentre=";
inline constexpr std::string_view signatureHeader = "Fuchsiadock-Signature";

/** Serves the full state at a bounded rate, so that many joiners at once do not stop a daemon. */
class StateServer
{
public:
    using Source = std::function<std::vector<membership::Record>(const std::string &dataCentre)>;

    StateServer(const membership::Codec &codec, Source source)
        : codec_(codec)
        , source_(std::move(source))
    {}

    net::HttpResponse answer(const net::HttpRequest &request, base::Millis now);

private:
    struct Encoded
    {
        std::string body_;
        base::Millis at_;
    };

    const std::string &encoded(const std::string &dataCentre, base::Millis now);

    const membership::Codec &codec_;
    Source source_;
    std::map<std::string, Encoded> cache_;
    base::Millis windowStart_;
    int answersInWindow_ = 0;
};

} // namespace gossip

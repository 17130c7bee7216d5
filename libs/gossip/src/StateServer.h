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

/** Path, query and header of the full-state transfer over HTTP. */
inline constexpr std::string_view statePath = "/members";
inline constexpr std::string_view dataCentreQuery = "?dataCentre=";
inline constexpr std::string_view signatureHeader = "Fuchsiadock-Signature";

/** Serves the full state at a limited rate, so that simultaneous joins do not stall a daemon. */
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
    struct CachedState
    {
        std::string body_;
        base::Millis encodedAt_;
    };

    const std::string &cachedState(const std::string &dataCentre, base::Millis now);

    const membership::Codec &codec_;
    Source source_;
    std::map<std::string, CachedState> cache_;
    base::Millis rateWindowStart_;
    int requestsInWindow_ = 0;
};

} // namespace gossip

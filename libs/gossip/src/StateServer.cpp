#include "StateServer.h"

namespace gossip {
namespace {

constexpr base::Millis cacheLifetime(500);
constexpr base::Millis rateWindow(1000);
constexpr int maxRequestsPerWindow = 8;
constexpr std::size_t maxCacheEntries = 16;

net::HttpResponse errorResponse(int status, const std::string &reason)
{
    return {status, {{"Content-Type", "text/plain"}, {"Retry-After", "1"}}, reason + "\n"};
}

} // namespace

net::HttpResponse StateServer::answer(const net::HttpRequest &request, base::Millis now)
{
    const auto signature = net::headerValue(request.headers_, signatureHeader);
    if (!codec_.isSignature(signature, request.target_))
        return errorResponse(403, "signature does not match the cluster secret");
    if (request.method_ != "GET")
        return errorResponse(405, "method not allowed; use GET");
    if (now - rateWindowStart_ > rateWindow) {
        rateWindowStart_ = now;
        requestsInWindow_ = 0;
    }
    if (++requestsInWindow_ > maxRequestsPerWindow)
        return errorResponse(503, "state request rate exceeded; ask another daemon");
    const auto query = request.target_.find(dataCentreQuery);
    const auto dataCentre = query == std::string::npos
                                    ? std::string()
                                    : request.target_.substr(query + dataCentreQuery.size());
    return {200, {{"Content-Type", "application/msgpack"}}, cachedState(dataCentre, now)};
}

const std::string &StateServer::cachedState(const std::string &dataCentre, base::Millis now)
{
    if (cache_.size() > maxCacheEntries)
        cache_.clear();
    auto &[body, encodedAt] = cache_[dataCentre];
    if (body.empty() || now - encodedAt > cacheLifetime) {
        body = codec_.encodeState(source_(dataCentre));
        encodedAt = now;
    }
    return body;
}

} // namespace gossip

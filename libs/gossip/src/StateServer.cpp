#include "StateServer.h"

namespace gossip {
namespace {

constexpr base::Millis cacheTime(500);
constexpr base::Millis window(1000);
constexpr int maxAnswersInWindow = 8;
constexpr std::size_t maxCached = 16;

net::HttpResponse refusal(int status, const std::string &reason)
{
    return {status, {{"Content-Type", "text/plain"}, {"Retry-After", "1"}}, reason + "\n"};
}

} // namespace

net::HttpResponse StateServer::answer(const net::HttpRequest &request, base::Millis now)
{
    const auto signature = net::headerValue(request.headers_, signatureHeader);
    if (!codec_.isSignature(signature, request.target_))
        return refusal(403, "the cluster secret does not fit");
    if (request.method_ != "GET")
        return refusal(405, "only GET");
    if (now - windowStart_ > window) {
        windowStart_ = now;
        answersInWindow_ = 0;
    }
    if (++answersInWindow_ > maxAnswersInWindow)
        return refusal(503, "too many joiners at once; ask another daemon");
    const auto query = request.target_.find(dataCentreQuery);
    const auto dataCentre = query == std::string::npos
                                    ? std::string()
                                    : request.target_.substr(query + dataCentreQuery.size());
    return {200, {{"Content-Type", "application/msgpack"}}, encoded(dataCentre, now)};
}

const std::string &StateServer::encoded(const std::string &dataCentre, base::Millis now)
{
    if (cache_.size() > maxCached)
        cache_.clear();
    auto &[body, at] = cache_[dataCentre];
    if (body.empty() || now - at > cacheTime) {
        body = codec_.encodeState(source_(dataCentre));
        at = now;
    }
    return body;
}

} // namespace gossip

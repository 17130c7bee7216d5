#include <RunCounter.h>

#include <nlohmann/json.hpp>

namespace bench {

void RunCounter::add(const std::string &requestId, const std::string &idempotencyKey)
{
    if (++byRequest_[requestId] > 1) {
        ++repeatedRequests_;
    }
    if (!idempotencyKey.empty() && ++byKey_[idempotencyKey] > 1) {
        ++repeatedKeys_;
    }
}

nlohmann::json RunCounter::json() const
{
    return byRequest_;
}

} // namespace bench

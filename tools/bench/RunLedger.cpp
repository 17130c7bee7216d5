#include <RunLedger.h>

#include <nlohmann/json.hpp>

namespace bench {

void RunLedger::add(const std::string &requestId, const std::string &idempotencyKey)
{
    if (++byRequest_[requestId] > 1) {
        ++repeatedRequests_;
    }
    if (!idempotencyKey.empty() && ++byKey_[idempotencyKey] > 1) {
        ++repeatedKeys_;
    }
}

nlohmann::json RunLedger::json() const
{
    return byRequest_;
}

} // namespace bench

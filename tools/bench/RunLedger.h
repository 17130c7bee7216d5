#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

namespace bench {

/** Counts how often each request that must run at most once did run at one instance. */
class RunLedger
{
public:
    /** Counts one run; the key may be empty. */
    void add(const std::string &requestId, const std::string &idempotencyKey);

    /** Runs beyond the first one of a request. */
    std::uint64_t repeatedRequests() const { return repeatedRequests_; }

    /** Runs beyond the first one of an idempotency key. */
    std::uint64_t repeatedKeys() const { return repeatedKeys_; }

    /** Runs by request as a JSON object. */
    nlohmann::json json() const;

private:
    std::unordered_map<std::string, std::uint32_t> byRequest_;
    std::unordered_map<std::string, std::uint32_t> byKey_;
    std::uint64_t repeatedRequests_ = 0;
    std::uint64_t repeatedKeys_ = 0;
};

} // namespace bench

#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

namespace bench {

/** Counts the runs of each at-most-once request at one instance. */
class RunCounter
{
public:
    /** Counts a run; the idempotency key may be empty. */
    void add(const std::string &requestId, const std::string &idempotencyKey);

    /** Number of runs after the first of each request. */
    std::uint64_t repeatedRequests() const { return repeatedRequests_; }

    /** Number of runs after the first of each idempotency key. */
    std::uint64_t repeatedKeys() const { return repeatedKeys_; }

    /** Run counts by request id, as a JSON object. */
    nlohmann::json json() const;

private:
    std::unordered_map<std::string, std::uint32_t> byRequest_;
    std::unordered_map<std::string, std::uint32_t> byKey_;
    std::uint64_t repeatedRequests_ = 0;
    std::uint64_t repeatedKeys_ = 0;
};

} // namespace bench

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <base/Millis.h>
#include <base/Random.h>
#include <dock/CallInfo.h>
#include <dock/Entry.h>
#include <identity/Core.h>
#include <identity/PriorityRanks.h>
#include <model/Config.h>
#include <net/HttpRequest.h>

namespace retry {
class ContextTable;
struct RunningCall;
} // namespace retry
namespace settings {
struct Settings;
}

namespace dock {

class Executor;
struct CallInterface;

namespace details {

/** Classifies the requests of callers by the current configuration. */
class RequestReader
{
public:
    /** Customer names are truncated to this length. */
    static constexpr std::size_t maxCustomerBytes = 64;

    /** All references must outlive the reader. */
    RequestReader(const settings::Settings &settings, const CallInterface &interface,
                  const Executor &executor, const retry::ContextTable &contexts,
                  std::uint64_t seed);

    /** Applies a configuration. */
    void configure(std::shared_ptr<const model::Config> config);

    /** No newer configuration had been written by the given time on base::elapsedNow(). */
    void confirm(base::Millis confirmedAt) { identity_.confirm(confirmedAt); }

    bool hasConfig() const { return config_ != nullptr; }

    /** Whether the configuration is recent enough to refuse what it does not know. */
    bool isConfigCurrent() const;

    /** Age of the evidence that the configuration is the newest; Millis::max() if there is none. */
    base::Millis evidenceAge() const;

    /**
     * Reads a request and moves its content into the call; returns nothing and leaves the request
     * unchanged if it has no destination. fallbackId distinguishes the priorities of root requests
     * that have neither id nor key. Precondition: hasConfig().
     */
    std::optional<CallInfo> read(net::HttpRequest &request, RequestSource source,
                                 std::string fallbackId);

    /**
     * Whether the request is non-idempotent in the current configuration, which may be newer than
     * the one that it was read with.
     */
    bool mustRunOnce(const CallInfo &call) const;

private:
    /** Service and target of a request. */
    struct Destination
    {
        std::string service_;
        std::string target_; ///< as sent to the backend server
        model::RequestClass class_;
        std::uint32_t maxAttempts_ = 1; ///< limit of the route
    };

    std::optional<Destination> destinationOf(const net::HttpRequest &request);
    std::string customerOf(const std::string &name) const;
    void identifyCustomer(CallInfo &call, const net::Headers &headers, RequestSource source,
                          const retry::RunningCall *parent) const;
    void applyDecision(CallInfo &call, const identity::Decision &decision) const;
    int rankOf(const CallInfo &call) const;
    void replaceReservedFields(CallInfo &call) const;
    base::Millis deadlineOf(const CallInfo &call, std::string_view requested) const;
    std::string contextTokenOf(const net::Headers &headers) const;
    void inheritFrom(CallInfo &call, const retry::RunningCall &parent) const;
    void applyRetryTolerance(CallInfo &call) const;
    void applyRouteRetryLimits(CallInfo &call, std::uint32_t maxAttempts) const;

    const settings::Settings &settings_;
    const CallInterface &interface_;
    const Executor &executor_;
    const retry::ContextTable &contexts_;
    base::Random random_;
    std::shared_ptr<const model::Config> config_;
    identity::Core identity_;
    identity::PriorityRanks ranks_;
};

} // namespace details
} // namespace dock

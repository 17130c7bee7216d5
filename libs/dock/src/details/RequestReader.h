#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <base/Millis.h>
#include <base/Random.h>
#include <dock/CallInfo.h>
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

/** Turns a caller's request into a classified call, by the configuration in force. */
class RequestReader
{
public:
    /** Bytes of a customer's name that are kept. */
    static constexpr std::size_t longestCustomer = 64;

    /** All that is passed in must outlive the reader. */
    RequestReader(const settings::Settings &settings, const CallInterface &interface,
                  const Executor &executor, const retry::ContextTable &contexts,
                  std::uint64_t seed);

    /** Uses a configuration from now on. */
    void configure(std::shared_ptr<const model::Config> config);

    bool hasConfig() const { return config_ != nullptr; }

    /**
     * Reads a request, whose content is moved into the call; nothing, with the request unchanged,
     * when it has no destination. The name tells apart root requests that state no id or key.
     * Precondition: hasConfig().
     */
    std::optional<CallInfo> read(net::HttpRequest &request, std::string name);

    /** Whether the configuration in force says so of a request that was read under an earlier one.
     */
    bool mustRunOnce(const CallInfo &call) const;

private:
    /** Where a request goes to. */
    struct Destination
    {
        std::string service_;
        std::string target_; ///< as the backend server gets it
        model::RequestClass class_;
        std::uint32_t maxAttempts_ = 1; ///< of a route
    };

    std::optional<Destination> destinationOf(const net::HttpRequest &request);
    std::string customerOf(const std::string &stated) const;
    base::Millis deadlineOf(const CallInfo &call, std::string_view stated) const;
    std::string contextTokenOf(const net::Headers &headers) const;
    void inheritFrom(CallInfo &call, const retry::RunningCall &parent) const;
    void addTolerance(CallInfo &call) const;
    void addRouteTolerance(CallInfo &call, std::uint32_t maxAttempts) const;

    const settings::Settings &settings_;
    const CallInterface &interface_;
    const Executor &executor_;
    const retry::ContextTable &contexts_;
    base::Random random_;
    std::shared_ptr<const model::Config> config_;
};

} // namespace details
} // namespace dock

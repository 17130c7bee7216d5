#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <model/Address.h>
#include <settings/CustomerSettings.h>
#include <settings/PlatformSettings.h>

namespace settings {

/** Operating mode of a daemon. */
enum class Mode : std::uint8_t {
    Full,     ///< admission, retry budgets and routing by load
    Baseline, ///< baseline for experiments: no admission, three retries at each hop
};

/** Settings of one daemon, from its settings file. Immutable after loading. */
struct Settings
{
    std::string id_;
    std::string region_;
    std::string dataCentre_;
    model::Address dataAddress_;
    model::Address peerAddress_;
    model::Address controlAddress_;
    model::Address adminAddress_;
    model::Address logAddress_;
    std::optional<model::Address> metricsAddress_; ///< serves metrics without a token
    std::optional<PlatformSettings> platform_;     ///< replaces log and administration API
    CustomerSettings customers_;
    std::vector<model::Address> seeds_;
    std::string adminToken_;
    std::string clusterSecret_;
    std::string logLevel_ = "info";
    std::string traceFile_;
    Mode mode_ = Mode::Full;
    /** Selects instances by the load they report, and hands calls back rather than queue them. */
    bool evenLoad_ = false;
    std::size_t memoryBytes_ = std::size_t{512} * 1024 * 1024; ///< of the whole process
    std::size_t maxBodyBytes_ = 16 * 1024 * 1024;
    std::uint32_t maxConnections_ = 4096;
    std::uint32_t onceRecords_ = 20'000;
    std::size_t onceBytes_ = 64 * 1024 * 1024;
    base::Millis keyLifetime_ = base::Millis(60'000);
    base::Millis logRetention_ = base::Millis(3'600'000);
    base::Millis drainTimeout_ = base::Millis(30'000);

    /** Maximum time for which a draining daemon still accepts work for its backend server. */
    base::Millis drainHandover_;

    /**
     * Maximum bytes of all messages held by the data task. A counted byte may take up to three
     * bytes of memory, as growing buffers are copied and an attempt is a copy of its request; the
     * rest is for the once-only record, connections and the program.
     */
    std::size_t messageBytes() const { return memoryBytes_ / memoryPerMessageByte; }

    bool operator==(const Settings &) const = default;

private:
    static constexpr std::size_t memoryPerMessageByte = 10;
};

} // namespace settings

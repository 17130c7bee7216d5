#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <model/Address.h>

namespace membership::details {

/** A ping sent by this daemon's failure detector that awaits its Ack. */
struct Probe
{
    std::string targetId_;
    std::string dataCentre_;
    base::Millis sentAt_; ///< in running time
    bool isIndirect_ = false;
};

/** A ping sent on behalf of another daemon, after a PingRequest. */
struct ForwardedPing
{
    model::Address origin_;
    std::uint64_t originSequence_ = 0;
    std::string targetId_;
    base::Millis sentAt_;
};

/** Pings that await an Ack. */
class Probes
{
public:
    std::uint64_t start(Probe probe);
    std::uint64_t startForward(ForwardedPing forward);

    /** Removes and returns the probe that the Ack answers, if any. */
    std::optional<Probe> finish(std::uint64_t sequence, const std::string &targetId);
    std::optional<ForwardedPing> finishForward(std::uint64_t sequence, const std::string &targetId);

    /** Marks as indirect and returns the direct probes sent before the given time. */
    std::vector<std::pair<std::uint64_t, Probe>> takeTimedOut(base::Millis sentBefore);

    /** Removes and returns the probes sent before the given time. */
    std::vector<Probe> takeFailed(base::Millis sentBefore);

    void clear();

private:
    std::uint64_t lastSequence_ = 0;
    std::map<std::uint64_t, Probe> probes_;
    std::map<std::uint64_t, ForwardedPing> forwards_;
};

} // namespace membership::details

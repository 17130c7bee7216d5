#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <model/Address.h>

namespace membership::details {

/** A ping of this daemon's own that waits for its Ack. */
struct Probe
{
    std::string targetId_;
    std::string dataCentre_;
    base::Millis sentAt_; ///< running time
    bool isIndirect_ = false;
};

/** A ping sent for another daemon. */
struct Forward
{
    model::Address origin_;
    std::uint64_t originSequence_ = 0;
    std::string targetId_;
    base::Millis sentAt_;
};

/** Pings under way. */
class Probes
{
public:
    std::uint64_t start(Probe probe);
    std::uint64_t startForward(Forward forward);

    /** Ends the probe that the Ack answers. */
    std::optional<Probe> finish(std::uint64_t sequence, const std::string &targetId);
    std::optional<Forward> finishForward(std::uint64_t sequence, const std::string &targetId);

    /** Marks and returns probes sent before the time that have not gone indirect. */
    std::vector<std::pair<std::uint64_t, Probe>> takeLate(base::Millis sentBefore);

    /** Removes and returns probes sent before the time. */
    std::vector<Probe> takeFailed(base::Millis sentBefore);

    void clear();

private:
    std::uint64_t lastSequence_ = 0;
    std::map<std::uint64_t, Probe> probes_;
    std::map<std::uint64_t, Forward> forwards_;
};

} // namespace membership::details

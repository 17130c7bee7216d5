#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <base/Millis.h>

namespace bench {

/** Action of an experiment step on processes. */
enum class StepAction : std::uint8_t {
    Faults,    ///< PUTs the JSON text to /faults of the log or of backend servers
    Kill,      ///< SIGKILL
    Pause,     ///< SIGSTOP
    Resume,    ///< SIGCONT
    Terminate, ///< SIGTERM
};

/** Kind of process that a step acts on. */
enum class StepTarget : std::uint8_t { Log, Daemon, Backend };

/** Action on running processes at a point in time within a phase. */
struct PlannedStep
{
    base::Millis offset_; ///< since the start of the phase
    StepAction action_ = StepAction::Faults;
    StepTarget target_ = StepTarget::Log;
    std::string service_;                   ///< of the daemons or backend servers
    std::optional<std::uint32_t> instance_; ///< index from 0; unset: all instances of the service
    std::string faults_;                    ///< JSON text

    bool operator==(const PlannedStep &) const = default;
};

} // namespace bench

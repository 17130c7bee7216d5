#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <base/Millis.h>

namespace bench {

/** What a step of an experiment does to processes. */
enum class StepAction : std::uint8_t {
    Faults,    ///< sends the JSON text to /faults of the log or of backend servers
    Kill,      ///< SIGKILL
    Pause,     ///< SIGSTOP
    Resume,    ///< SIGCONT
    Terminate, ///< SIGTERM
};

/** Processes that a step acts on. */
enum class StepTarget : std::uint8_t { Log, Daemon, Backend };

/** One change to running processes during a phase. */
struct PlannedStep
{
    base::Millis at_; ///< since the start of the phase
    StepAction action_ = StepAction::Faults;
    StepTarget target_ = StepTarget::Log;
    std::string service_;                   ///< of the daemons or backend servers
    std::optional<std::uint32_t> instance_; ///< from 0; none: all instances of the service
    std::string faults_;                    ///< JSON text

    bool operator==(const PlannedStep &) const = default;
};

} // namespace bench

#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <string>
#include <string_view>

/** Stage of a request at which a fault can be injected. */
enum class Step {
    ToHome,           ///< in transit from the caller to the daemon that decides on it
    Routed,           ///< an instance has been chosen
    ToExecutor,       ///< in transit to the executor
    Admitted,         ///< admission has granted it
    ToBackend,        ///< in transit to the backend server
    Running,          ///< the backend server has started it
    AnswerToExecutor, ///< the answer is in transit to the executor
    AnswerToHome,     ///< the answer is in transit to the home
    AnswerToCaller,   ///< the answer is in transit to the caller
};

/**
 * Kind of fault. Process faults affect the process at the point: the sender of a message, but the
 * receiver at ToHome.
 */
enum class Fault {
    Crash,                 ///< the process ends and restarts after Network::restartDelay
    Pause,                 ///< the process does nothing for Network::pauseDuration
    Slow,                  ///< the step is delayed by Network::slowDelay
    LostMessage,           ///< the message never arrives
    Duplicate,             ///< the message arrives twice
    Late,                  ///< the message arrives after Network::lateDelay
    Truncated,             ///< the message arrives damaged, and the exchange fails as lost
    Partition,             ///< no messages between the data centres for Network::partitionDuration
    LogDown,               ///< no log for the rest of the run; restarted daemons lack a config
    AnswerLostAfterEffect, ///< the first answer of this hop from this point on is lost
    Drain,                 ///< the daemon, or that of the backend server, starts to drain
    ColdStart,             ///< the backend server of the daemon starts cold
};

inline constexpr std::array stepNames = {"received", "routed",     "sent",
                                         "admitted", "dispatched", "running",
                                         "answered", "relayed",    "delivered"};
inline constexpr std::array faultNames = {
        "crash",     "pause",     "slow",    "lostMessage",           "duplicate", "late",
        "truncated", "partition", "logDown", "answerLostAfterEffect", "drain",     "coldStart"};
inline constexpr std::size_t stepCount = stepNames.size();
inline constexpr std::size_t faultCount = faultNames.size();
inline constexpr std::size_t hopCount = 2;

/** One step of the call at one hop; hop 1 is made by the backend server of hop 0. */
struct Point
{
    Step step_ = Step::ToHome;
    std::size_t hop_ = 0;

    auto operator<=>(const Point &) const = default;
};

/** Cell of the matrix: a fault injected when the request first reaches a point. */
struct Cell
{
    Point point_;
    Fault fault_ = Fault::Crash;

    auto operator<=>(const Cell &) const = default;

    std::string name() const
    {
        return std::string(stepNames[static_cast<std::size_t>(point_.step_)]) + "Hop"
               + std::to_string(point_.hop_) + '_' + faultNames[static_cast<std::size_t>(fault_)];
    }
};

/** Whether the request is in transit in a message at that step. */
inline bool isInTransit(Step step)
{
    return step != Step::Routed && step != Step::Admitted && step != Step::Running;
}

/** Why the cell is not applicable; empty if it is. */
inline std::string_view inapplicableReason(const Cell &cell)
{
    const auto fault = cell.fault_;
    const bool needsMessage = fault == Fault::LostMessage || fault == Fault::Duplicate
                              || fault == Fault::Late || fault == Fault::Truncated;
    if (needsMessage && !isInTransit(cell.point_.step_))
        return "the request is not in transit at this step";
    if (fault == Fault::Duplicate && cell.point_.step_ == Step::ToBackend)
        return "requests to the local backend server use one TCP stream and are never resent";
    return {};
}

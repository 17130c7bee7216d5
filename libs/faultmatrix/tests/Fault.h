#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <string>
#include <string_view>

/** Where a request is when a fault occurs. */
enum class Step {
    Received,   ///< on the way from its caller to the daemon that decides on it
    Routed,     ///< an instance has been chosen
    Sent,       ///< on the way to the executor
    Admitted,   ///< admission has let it start
    Dispatched, ///< on the way to the backend server
    Running,    ///< the backend server has begun
    Answered,   ///< the answer is on the way to the executor
    Relayed,    ///< the answer is on the way to the home
    Delivered,  ///< the answer is on the way to the caller
};

/** What goes wrong. */
enum class Fault {
    Crash,
    Pause,
    Slow,
    LostMessage,
    Duplicate,
    Late,
    Truncated,
    Partition,
    LogDown,
    AnswerLostAfterEffect,
    Drain,
    ColdStart,
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
    Step step_ = Step::Received;
    std::size_t hop_ = 0;

    auto operator<=>(const Point &) const = default;
};

/** One cell of the matrix: one fault when the request first gets to one point. */
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

/** Whether the request is in a message at that step. */
inline bool isMessage(Step step)
{
    return step != Step::Routed && step != Step::Admitted && step != Step::Running;
}

/** Why the cell does not apply; empty if it does. */
inline std::string_view whyNot(const Cell &cell)
{
    const auto fault = cell.fault_;
    const bool needsMessage = fault == Fault::LostMessage || fault == Fault::Duplicate
                              || fault == Fault::Late || fault == Fault::Truncated;
    if (needsMessage && !isMessage(cell.point_.step_))
        return "the request is in no message at this step";
    if (fault == Fault::Duplicate && cell.point_.step_ == Step::Dispatched)
        return "one TCP stream to the backend server on the same instance, never sent again";
    return {};
}

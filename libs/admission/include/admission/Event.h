#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include <admission/Priority.h>
#include <base/Millis.h>
#include <model/Customer.h>

namespace admission {

/** Identifies a request at this instance; chosen by the user of Core, unique while it lasts. */
using RequestId = std::uint64_t;

/** A request arrived. */
struct Arrived
{
    RequestId id_ = 0;
    Priority priority_;
    std::string customer_;
    std::string requestClass_; ///< service times are tracked by class
    base::Millis deadline_;    ///< on the clock of the events

    bool operator==(const Arrived &) const = default;
};

/** How a started request ended. */
enum class Outcome : std::uint8_t {
    Ok,        ///< complete answer
    Shed,      ///< the backend server refused it for overload
    Failed,    ///< no complete answer
    Cancelled, ///< ended early by its caller or by its deadline
};

/** A started request ended; frees its slot. */
struct Finished
{
    RequestId id_ = 0;
    Outcome outcome_ = Outcome::Ok;
    base::Millis serviceTime_; ///< from start to end

    bool operator==(const Finished &) const = default;
};

/** The caller cancelled; frees the queue place or the slot. No Finished needs to follow. */
struct Cancelled
{
    RequestId id_ = 0;

    bool operator==(const Cancelled &) const = default;
};

/** The backend server registered, or a release note came into force. */
struct Configured
{
    std::uint32_t slots_ = 0; ///< 0: no backend server, refuse everything
    std::map<std::string, model::Customer> customers_;

    bool operator==(const Configured &) const = default;
};

/** Time has passed; to be sent at least every 50 ms. */
struct Tick
{
    bool operator==(const Tick &) const = default;
};

/** Load report of the backend server; used only as a hint. */
struct LoadReported
{
    double utilisation_ = 0.0; ///< 1: full

    bool operator==(const LoadReported &) const = default;
};

/**
 * The daemon's processor is overloaded: requests wait in sockets, outside of the queue.
 * Counts as a window with excessive queueing delay.
 */
struct ProcessorBusy
{
    bool operator==(const ProcessorBusy &) const = default;
};

using Event =
        std::variant<Arrived, Finished, Cancelled, Configured, Tick, LoadReported, ProcessorBusy>;

} // namespace admission

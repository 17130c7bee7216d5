#pragma once

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <once/HomeEvent.h>
#include <once/Outcome.h>

namespace once::details {

/** Submitted to admission; not yet sent to the backend server. */
struct Queued
{
    base::Millis startBy_;
};

/** Sent to the backend server. */
struct Sent
{};

/** The outcome is final and the same for all queries. */
struct Decided
{
    Outcome outcome_;
};

using ExecutorState = std::variant<Queued, Sent, Decided>;

/** State of one sub-key at its executor. */
struct ExecutorRecord
{
    ExecutorState state_;
    std::vector<WaiterId> waiting_;
};

/** State of one home at an executor: its records and the numbers still accepted as new. */
struct TrackedHome
{
    std::uint64_t generation_ = 0;
    std::uint64_t minNewNumber_ = 0; ///< lower numbers without a record are never run
    std::map<std::uint64_t, ExecutorRecord> records_;
};

} // namespace once::details

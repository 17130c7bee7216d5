#pragma once

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <once/HomeEvent.h>
#include <once/Outcome.h>

namespace once::details {

/** Handed to admission; not sent to the backend server. */
struct Queued
{
    base::Millis startBy_;
};

/** Sent to the backend server. */
struct Sent
{};

/** What is told to everybody who asks. */
struct Decided
{
    Outcome outcome_;
};

using ExecutorState = std::variant<Queued, Sent, Decided>;

/** What an executor knows of one sub-key. */
struct ExecutorRecord
{
    ExecutorState state_;
    std::vector<WaiterId> waiting_;
};

/** What an executor knows of one home: the records, and which numbers may still be new. */
struct HomeTrack
{
    std::uint64_t generation_ = 0;
    std::uint64_t lowestNew_ = 0; ///< a lower number without a record is never run
    std::map<std::uint64_t, ExecutorRecord> records_;
};

} // namespace once::details

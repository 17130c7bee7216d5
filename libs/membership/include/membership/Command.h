#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include <membership/Datagram.h>

namespace membership {

/** Send a datagram over UDP. */
struct Send
{
    model::Address to_;
    Datagram datagram_;
};

/**
 * Fetch the members of a data centre over TCP; of all data centres if the name is empty.
 *
 * Answered by exactly one StateFetched or StateFetchFailed event.
 */
struct FetchState
{
    model::Address from_;
    std::string dataCentre_;
    std::uint64_t request_ = 0; ///< identifier to copy into the answer event
};

/**
 * Discover further seeds, because no daemon answers or to find a separate cluster.
 *
 * Answered by a SeedsFound event if any are found.
 */
struct FindSeeds
{};

/** Core::members() or its revisions changed. */
struct MembersChanged
{};

using Command = std::variant<Send, FetchState, FindSeeds, MembersChanged>;

} // namespace membership

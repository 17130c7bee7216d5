#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include <membership/Datagram.h>

namespace membership {

/** Send a datagram by UDP. */
struct Send
{
    model::Address to_;
    Datagram datagram_;
};

/** Fetch the members of a data centre by TCP, of all when it is empty; one answer event. */
struct FetchState
{
    model::Address from_;
    std::string dataCentre_;
    std::uint64_t request_ = 0; ///< to be repeated in the answer event
};

/** Look for further seeds, since nobody answers; answered by SeedsFound, if at all. */
struct FindSeeds
{};

/** Core::members() or its revisions changed. */
struct MembersChanged
{};

using Command = std::variant<Send, FetchState, FindSeeds, MembersChanged>;

} // namespace membership

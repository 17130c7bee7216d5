#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <model/Member.h>

namespace rendezvous {

/** No other daemon answers. */
struct SeedsWanted
{};

/** The live members, with or without this daemon. */
struct MembersChanged
{
    std::shared_ptr<const std::vector<model::Member>> members_;
};

/** End of a ReadTail command: the newest records, oldest first. */
struct TailRead
{
    std::vector<std::string> records_;
};

/** End of a ReadTail command without an answer of the log. */
struct ReadFailed
{};

/** Time passes; expected about once a second. */
struct Tick
{};

/** What a Core is told. */
using Event = std::variant<SeedsWanted, MembersChanged, TailRead, ReadFailed, Tick>;

} // namespace rendezvous

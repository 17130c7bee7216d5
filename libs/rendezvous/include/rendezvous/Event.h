#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <model/Member.h>

namespace rendezvous {

/** No other daemon is reachable. */
struct SeedsRequested
{};

/** New list of live members; may or may not contain this daemon. */
struct MembersChanged
{
    std::shared_ptr<const std::vector<model::Member>> members_;
};

/** Result of a ReadTail command: the newest records, oldest first. */
struct TailRead
{
    std::vector<std::string> records_;
};

/** A ReadTail command failed. */
struct ReadFailed
{};

/** Periodic timer event, about once a second. */
struct Tick
{};

/** Input of a Core. */
using Event = std::variant<SeedsRequested, MembersChanged, TailRead, ReadFailed, Tick>;

} // namespace rendezvous

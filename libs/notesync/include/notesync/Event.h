#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <logclient/ReadResult.h>
#include <model/Member.h>
#include <note/ReleaseNote.h>
#include <notesync/Update.h>

namespace notesync {

/** Names one publish request of this daemon; 0 stands for its own snapshot. */
using Ticket = std::uint64_t;

/** Time passes; expected every quarter of a second. */
struct Tick
{};

/** The live members, with or without this daemon. */
struct MembersChanged
{
    std::shared_ptr<const std::vector<model::Member>> members_;
};

/** End of a ReadLog command. */
struct LogRead
{
    logclient::ReadResult result_;
};

/** End of an AppendRecord command. */
struct LogAppended
{
    Ticket ticket_ = 0;
    logclient::AppendResult result_;
};

/** End of a Pull command; no update when the peer failed or has no state. */
struct PullEnded
{
    std::string peerId_;
    std::optional<Update> update_;
};

/** Another daemon tells what it holds. */
struct Announced
{
    Announcement announcement_;
};

/** An operator wants to publish a note. */
struct PublishRequested
{
    Ticket ticket_ = 0;
    note::ReleaseNote note_;
};

/** Everything that NoteSync reacts to. */
using Event = std::variant<Tick, MembersChanged, LogRead, LogAppended, PullEnded, Announced,
                           PublishRequested>;

} // namespace notesync

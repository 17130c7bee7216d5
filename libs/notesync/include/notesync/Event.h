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

/** Identifies a publish request of this daemon; 0 is its own snapshot append. */
using RequestId = std::uint64_t;

/** Periodic timer event, expected every 250 ms. */
struct Tick
{};

/** The live members changed. The list may include this daemon. */
struct MembersChanged
{
    std::shared_ptr<const std::vector<model::Member>> members_;
};

/** Completion of a ReadLog command. */
struct ReadCompleted
{
    logclient::ReadResult result_;
};

/** Completion of an AppendRecord command. */
struct AppendCompleted
{
    RequestId requestId_ = 0;
    logclient::AppendResult result_;
};

/** Completion of a Pull command; no update when the pull failed or the peer has no state. */
struct PullCompleted
{
    std::string peerId_;
    std::optional<Update> update_;
};

/** Another daemon announced its state. */
struct AnnouncementReceived
{
    Announcement announcement_;
};

/** An operator requested the publication of a release note. */
struct PublishRequested
{
    RequestId requestId_ = 0;
    note::ReleaseNote note_;
};

/** Input of NoteSync. */
using Event = std::variant<Tick, MembersChanged, ReadCompleted, AppendCompleted, PullCompleted,
                           AnnouncementReceived, PublishRequested>;

} // namespace notesync

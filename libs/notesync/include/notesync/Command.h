#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include <model/Address.h>
#include <model/Config.h>
#include <notesync/Event.h>
#include <notesync/PublishResult.h>

namespace notesync {

/** Reads the stream; at most one read is outstanding. Completes with ReadCompleted. */
struct ReadLog
{
    std::uint64_t fromOffset_ = 0;
    std::size_t maxRecords_ = 0;
};

/** Appends a record to the stream. Completes with AppendCompleted. */
struct AppendRecord
{
    RequestId requestId_ = 0;
    std::string data_;
};

/** State of the querying daemon, sent with a pull. */
struct PullQuery
{
    std::uint64_t nextOffset_ = 0; ///< first log offset not yet folded; 0 requests the full state
    std::string digest_;           ///< of the state; empty without one
};

/** Pulls newer state from a peer; at most one pull is outstanding. Completes with PullCompleted. */
struct Pull
{
    std::string peerId_;
    model::Address address_;
    PullQuery query_;
};

/** Sends an announcement of the state of this daemon to a peer; its reply is ignored. */
struct Announce
{
    model::Address address_;
    Announcement announcement_;
};

/** Puts a new configuration in force. */
struct ApplyConfig
{
    std::shared_ptr<const model::Config> config_;
};

/** Completes a PublishRequested. */
struct FinishPublish
{
    RequestId requestId_ = 0;
    PublishResult result_;
};

/** I/O and callbacks that NoteSync requests from its caller. */
using Command = std::variant<ReadLog, AppendRecord, Pull, Announce, ApplyConfig, FinishPublish>;

} // namespace notesync

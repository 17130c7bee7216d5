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

/** Read the stream; at most one is outstanding. */
struct ReadLog
{
    std::uint64_t from_ = 0;
    std::size_t max_ = 0;
};

/** Append a record to the stream. */
struct AppendRecord
{
    Ticket ticket_ = 0;
    std::string data_;
};

/** What a daemon says it holds when it asks another for more. */
struct PullQuery
{
    std::uint64_t next_ = 0; ///< 0 asks for the whole state
    std::string digest_;     ///< empty without a state
};

/** Ask a peer for what it has; at most one is outstanding. */
struct Pull
{
    std::string peerId_;
    model::Address address_;
    PullQuery query_;
};

/** Tell a peer what this daemon holds; no answer is needed. */
struct Announce
{
    model::Address address_;
    Announcement announcement_;
};

/** A new configuration is in force. */
struct ApplyConfig
{
    std::shared_ptr<const model::Config> config_;
};

/** Answer to a PublishRequested. */
struct FinishPublish
{
    Ticket ticket_ = 0;
    PublishResult result_;
};

/** Everything that NoteSync wants done. */
using Command = std::variant<ReadLog, AppendRecord, Pull, Announce, ApplyConfig, FinishPublish>;

} // namespace notesync

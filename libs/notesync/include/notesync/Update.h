#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <base/Error.h>
#include <logclient/LogRecord.h>
#include <note/State.h>

namespace notesync {

/** The querying daemon already has the same content. */
struct UpToDate
{
    bool operator==(const UpToDate &) const = default;
};

/** Log records missing at the querying daemon. */
struct Delta
{
    std::uint64_t fromOffset_ = 0;
    std::uint64_t toOffset_ = 0; ///< offset after the last record covered
    std::string digest_;         ///< of the state after folding them
    std::vector<logclient::LogRecord> records_;

    bool operator==(const Delta &) const = default;
};

/** The full state. */
struct FullState
{
    note::State state_;

    bool operator==(const FullState &) const = default;
};

/** Response to a pull of another daemon. */
using Update = std::variant<UpToDate, Delta, FullState>;

/** Encodes an update as JSON text. */
std::string encodeUpdate(const Update &update);

/** Inverse of encodeUpdate(); fails with "bad-update" for other text. */
base::Result<Update> decodeUpdate(std::string_view text);

/** State of a daemon, as announced to peers. */
struct Announcement
{
    std::string daemonId_;
    std::uint64_t nextOffset_ = 0; ///< first log offset not yet folded
    std::uint64_t revision_ = 0;
    std::string digest_;

    bool operator==(const Announcement &) const = default;
};

/** Encodes an announcement as JSON text. */
std::string encodeAnnouncement(const Announcement &announcement);

/** Inverse of encodeAnnouncement(); fails with "bad-announcement" for other text. */
base::Result<Announcement> decodeAnnouncement(std::string_view text);

} // namespace notesync

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

/** The asking daemon has the same content already. */
struct Same
{
    bool operator==(const Same &) const = default;
};

/** Records of the log that the asking daemon lacks. */
struct Delta
{
    std::uint64_t from_ = 0;
    std::uint64_t to_ = 0; ///< offset after the last record covered
    std::string digest_;   ///< of the state after them
    std::vector<logclient::LogRecord> records_;

    bool operator==(const Delta &) const = default;
};

/** A whole state. */
struct Whole
{
    note::State state_;

    bool operator==(const Whole &) const = default;
};

/** What one daemon answers to another that asks for newer release notes. */
using Update = std::variant<Same, Delta, Whole>;

/** Text of an update. */
std::string encodeUpdate(const Update &update);

/** Inverse of encodeUpdate(); fails with "bad-update" for anything else. */
base::Result<Update> decodeUpdate(std::string_view text);

/** What a daemon holds, as told to others. */
struct Announcement
{
    std::string daemonId_;
    std::uint64_t next_ = 0;
    std::uint64_t revision_ = 0;
    std::string digest_;

    bool operator==(const Announcement &) const = default;
};

/** Text of an announcement. */
std::string encodeAnnouncement(const Announcement &announcement);

/** Inverse of encodeAnnouncement(); fails with "bad-announcement" for anything else. */
base::Result<Announcement> decodeAnnouncement(std::string_view text);

} // namespace notesync

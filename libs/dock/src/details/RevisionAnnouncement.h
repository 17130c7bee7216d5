#pragma once

#include <optional>
#include <string>
#include <vector>

#include <base/Error.h>
#include <base/Random.h>
#include <model/Address.h>
#include <model/Member.h>

namespace dock::details {

/** Announcement of the configuration revision that a daemon has put in force. */
struct RevisionAnnouncement
{
    model::Revision revision_ = 0;
    std::string dataCentre_;        ///< of the sender
    model::Address controlAddress_; ///< of the sender, which provides the configuration
    bool mustForward_ = false;      ///< the receiver announces it in its data centre

    /** One line of text with blanks between the parts. */
    std::string encode() const;

    /** Inverse of encode(); fails with "bad-news". */
    static base::Result<RevisionAnnouncement> parse(const std::string &text);

    bool operator==(const RevisionAnnouncement &) const = default;
};

/** Origin of a new revision; determines to which daemons it is announced. */
enum class RevisionOrigin : std::uint8_t {
    Log,             ///< nobody else may have read it yet
    OtherDataCentre, ///< announced by a daemon that reaches only a few of this data centre
    OwnDataCentre,   ///< announced to all of this data centre, or requested from a member
};

/** Daemons to which a revision is announced. */
struct AnnouncementTargets
{
    std::vector<const model::Member *> ownDataCentre_;
    std::vector<const model::Member *> otherDataCentres_; ///< forward it in theirs
};

/**
 * Selects the receivers: all daemons of the own data centre, and if the revision was read from the
 * log a few of each other one, in case the readers there do not get it.
 * None if the revision was received from the own data centre.
 */
AnnouncementTargets announcementTargets(const std::vector<model::Member> &members,
                                        const std::string &selfId, const std::string &dataCentre,
                                        RevisionOrigin from, base::Random &random);

} // namespace dock::details

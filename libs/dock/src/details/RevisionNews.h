#pragma once

#include <optional>
#include <string>
#include <vector>

#include <base/Error.h>
#include <base/Random.h>
#include <model/Address.h>
#include <model/Member.h>

namespace dock::details {

/** What one daemon tells another about the configuration that it has put in force. */
struct RevisionNews
{
    model::Revision revision_ = 0;
    std::string dataCentre_;        ///< of the daemon that tells
    model::Address controlAddress_; ///< where the configuration can be had
    bool isToBeTold_ = false;       ///< the receiver passes it on within its own data centre

    /** One line of text with blanks between the parts. */
    std::string text() const;

    /** Inverse of text(); fails with "bad-news". */
    static base::Result<RevisionNews> parse(const std::string &text);

    bool operator==(const RevisionNews &) const = default;
};

/** Where a new revision was learnt. */
enum class LearntFrom : std::uint8_t {
    Log,             ///< nobody else may have read it yet
    OtherDataCentre, ///< told by a daemon that tells just a few here
    OwnDataCentre,   ///< told by a daemon that tells all here, or asked for
};

/** Daemons that are told of a revision. */
struct NewsTargets
{
    std::vector<const model::Member *> ownDataCentre_;
    std::vector<const model::Member *> otherDataCentres_; ///< pass it on
};

/**
 * Picks the daemons to be told: all of the own data centre, and when the revision was read from the
 * log a few of each other one, in case the readers there do not get it.
 */
NewsTargets newsTargets(const std::vector<model::Member> &members, const std::string &selfId,
                        const std::string &dataCentre, LearntFrom from, base::Random &random);

} // namespace dock::details

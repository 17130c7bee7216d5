#pragma once

#include <memory>
#include <string>
#include <vector>

#include <membership/Command.h>
#include <membership/Event.h>
#include <membership/Options.h>

namespace membership {

/**
 * Membership and failure detection: SWIM inside a data centre, relays between data centres.
 *
 * Has no I/O, clock or thread: the caller passes in events with the current monotonic time and
 * executes the returned commands. See docs/design/membership.md.
 */
class Core
{
public:
    explicit Core(Options options);
    ~Core();
    Core(Core &&) noexcept;
    Core &operator=(Core &&) noexcept;

    /** Handles one event and returns the commands to execute. */
    std::vector<Command> handle(const Event &event, base::Millis now);

    /**
     * This daemon as announced to the others.
     *
     * Its generation rises if an earlier process of the same id took a higher one, for example
     * because its clock was ahead.
     */
    const model::Member &self() const;

    /** All live members including this daemon and unreachable data centres, sorted by id. */
    std::vector<model::Member> members() const;

    /** Live members and recent tombstones of a data centre; of all data centres if it is empty. */
    std::vector<Record> state(base::Millis now, const std::string &dataCentre = {}) const;

    /** The record of a member, or null if the member is unknown. */
    const Record *find(const std::string &id) const;

    /** Whether seeds are configured and no other daemon answers. */
    bool isIsolated(base::Millis now) const;

    /** Whether another daemon's state has been merged, so that the view is no longer empty. */
    bool hasJoined() const;

    /**
     * Whether the view is being refreshed after a pause of the process.
     *
     * Until that is done, the view may be outdated and must not be sent to other daemons.
     */
    bool isCatchingUp() const;

    /** Data centres that have live members but have not answered within the time-out, sorted. */
    std::vector<std::string> unreachableDataCentres(base::Millis now) const;

    /** Whether this daemon is currently a relay of its data centre. */
    bool isRelay() const;

    /** Highest revision reported as in force by any daemon. */
    model::Revision highestRevision() const;

    /** The latest count of daemons per revision in force, for each data centre. */
    std::vector<RevisionSummary> revisions() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace membership

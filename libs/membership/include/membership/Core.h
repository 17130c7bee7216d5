#pragma once

#include <memory>
#include <string>
#include <vector>

#include <membership/Command.h>
#include <membership/Event.h>
#include <membership/Options.h>

namespace membership {

/**
 * Decides which daemons are there: SWIM inside a data centre, relays between data centres.
 *
 * Has no I/O, clock or thread: the caller passes events with the present monotonic time and
 * carries out the commands. See docs/design/membership.md.
 */
class Core
{
public:
    explicit Core(Options options);
    ~Core();
    Core(Core &&) noexcept;
    Core &operator=(Core &&) noexcept;

    /** Takes one event and returns what is to be done. */
    std::vector<Command> handle(const Event &event, base::Millis now);

    /** This daemon; its generation may rise when the name was used before by a later clock. */
    const model::Member &self() const;

    /** All live members with this daemon, sorted by id, also those of unreachable data centres. */
    std::vector<model::Member> members() const;

    /** Live members and recent deaths and departures: all, or those of one data centre. */
    std::vector<Record> state(base::Millis now, const std::string &dataCentre = {}) const;

    /** What is believed of one member; null when nothing is known. */
    const Record *find(const std::string &id) const;

    /** Whether seeds are configured and no other daemon answers. */
    bool isIsolated(base::Millis now) const;

    /** Whether another daemon's state was taken over, so that the view is no longer empty. */
    bool hasJoined() const;

    /** Whether the process was paused and its view is still checked: it must not be passed on. */
    bool isCatchingUp() const;

    /** Data centres whose members are listed and from which no answer comes, sorted. */
    std::vector<std::string> unreachableDataCentres(base::Millis now) const;

    /** Whether this daemon speaks for its data centre at present. */
    bool isRelay() const;

    /** Highest revision in force at any daemon heard of. */
    model::Revision highestRevision() const;

    /** For each data centre, how many daemons have which revision in force, as last counted. */
    std::vector<RevisionSummary> revisions() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace membership

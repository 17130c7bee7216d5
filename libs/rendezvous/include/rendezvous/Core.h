#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <base/Random.h>
#include <logclient/Backoff.h>
#include <rendezvous/Command.h>
#include <rendezvous/Event.h>
#include <rendezvous/Options.h>

namespace rendezvous {

/**
 * Decides how daemons that know nobody find the others by a stream of the platform's log.
 *
 * A lone daemon reads the newest records, and tells its own address if it stays alone. A few
 * publishers of each data centre repeat theirs, and look for groups that they do not know. No I/O.
 */
class Core
{
public:
    explicit Core(const Options &options);

    /** Takes an event and returns what is to be done. */
    std::vector<Command> handle(const Event &event, base::Millis now);

    /** Whether this daemon repeats its address for its data centre. */
    bool isPublisher() const { return isPublisher_; }

private:
    void onSeedsWanted(base::Millis now);
    void onMembers(const std::vector<model::Member> &members, base::Millis now);
    void onTail(const std::vector<std::string> &records, base::Millis now);
    void onTick(base::Millis now);
    void read();
    void append(base::Millis now);
    bool isAlone() const { return known_.size() <= 1; }
    base::Millis randomDelay(base::Millis longest);

    const Options options_;
    base::Random random_;
    logclient::Backoff backoff_;
    std::vector<Command> commands_;
    std::set<std::string> known_; ///< ids of the members
    bool isPublisher_ = false;
    bool isReading_ = false;
    base::Millis nextRead_;
    std::optional<base::Millis> appendAt_;
    std::optional<base::Millis> lastAppend_;
    base::Millis nextRefresh_;
};

} // namespace rendezvous

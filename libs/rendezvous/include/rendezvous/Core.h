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
 * Decides how daemons without reachable seeds discover each other through a stream of the
 * platform's log.
 *
 * A daemon without other members reads the newest records, and appends its own address if it
 * remains alone. A few elected publishers of each data centre append theirs periodically and read
 * the stream, which also connects groups that are not yet members of each other. No I/O.
 */
class Core
{
public:
    explicit Core(const Options &options);

    /** Processes an event and returns the resulting commands. */
    std::vector<Command> handle(const Event &event, base::Millis now);

    /** Whether this daemon is elected to append its address periodically for its data centre. */
    bool isPublisher() const { return isPublisher_; }

private:
    void onSeedsRequested(base::Millis now);
    void onMembers(const std::vector<model::Member> &members, base::Millis now);
    void onTail(const std::vector<std::string> &records, base::Millis now);
    void onTick(base::Millis now);
    void read();
    void append(base::Millis now);
    bool isAlone() const { return memberIds_.size() <= 1; }
    base::Millis randomDelay(base::Millis maxDelay);

    const Options options_;
    base::Random random_;
    logclient::Backoff backoff_;
    std::vector<Command> commands_;
    std::set<std::string> memberIds_;
    bool isPublisher_ = false;
    bool isReading_ = false;
    base::Millis nextRead_;
    std::optional<base::Millis> appendAt_;
    std::optional<base::Millis> lastAppend_;
    base::Millis nextRefresh_;
};

} // namespace rendezvous

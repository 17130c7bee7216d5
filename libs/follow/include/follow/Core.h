#pragma once

#include <string>
#include <vector>

#include <base/Millis.h>
#include <follow/Command.h>
#include <follow/Event.h>
#include <follow/Options.h>
#include <logclient/Backoff.h>

namespace follow {

/**
 * Decides how a daemon follows a keyed topic: it reads the newest record of each key once, then all
 * subsequent records, and starts over when records were trimmed or another daemon is ahead.
 *
 * At most one read is outstanding, besides abandoned ones. No I/O, clock or thread.
 */
class Core
{
public:
    explicit Core(const Options &options);

    /** Processes an event and returns the resulting commands, in order. */
    std::vector<Command> handle(const Event &event);

    /** Whether every key has been read at least once. */
    bool isComplete() const { return isComplete_; }

private:
    void on(const Started &event);
    void on(const ReadEnded &event);
    void on(const ReadDue &event);
    void on(const PeerAhead &event);
    void on(const PeerNotifications &event);
    void readNewest(std::string after);
    void readNext();
    void handlePage(const logclient::KeyedPage &page);
    void scheduleRetry(const logclient::LogError &error);
    void setReachable(bool isReachable, std::string detail);

    const Options options_;
    logclient::Backoff backoff_;
    std::vector<Command> commands_;
    ReadId currentRead_ = 0;
    std::string afterKey_;         ///< last key of the previous page, while reading newest records
    std::uint64_t nextOffset_ = 0; ///< of the next ReadFrom
    bool isReadingNewest_ = true;
    bool isFirstPage_ = true;
    bool isComplete_ = false;
    bool isReachable_ = true;
    bool isNotified_ = false; ///< of new records, by other daemons
};

} // namespace follow

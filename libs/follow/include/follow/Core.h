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
 * Decides how a daemon reads a keyed topic: the newest record of each key once, then all records
 * that follow, and again from the start when records were trimmed or another daemon is ahead.
 *
 * One read is outstanding at a time, besides abandoned ones. No I/O, clock or thread.
 */
class Core
{
public:
    explicit Core(const Options &options);

    /** Takes an event and returns what is to be done, in order. */
    std::vector<Command> handle(const Event &event);

    /** Whether every key has been read at least once. */
    bool isComplete() const { return isComplete_; }

private:
    void on(const Started &event);
    void on(const ReadEnded &event);
    void on(const RetryDue &event);
    void on(const BehindOthers &event);
    void on(const ToldByOthers &event);
    void readNewest(std::string after);
    void readOn();
    void take(const logclient::KeyedPage &page);
    void retryAfter(const logclient::LogError &error);
    void noteReachable(bool isReachable, std::string detail);

    const Options options_;
    logclient::Backoff backoff_;
    std::vector<Command> commands_;
    ReadId read_ = 0;
    std::string after_;        ///< last key of the page before, while newest records are read
    std::uint64_t offset_ = 0; ///< where reading goes on
    bool isReadingNewest_ = true;
    bool isFirstPage_ = true;
    bool isComplete_ = false;
    bool isReachable_ = true;
    bool isTold_ = false; ///< by other daemons
};

} // namespace follow

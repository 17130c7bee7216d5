#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <base/Mac.h>
#include <base/Millis.h>
#include <details/HomeRecord.h>
#include <details/HomeTable.h>
#include <details/TimerQueue.h>
#include <once/HomeCommand.h>
#include <once/HomeEvent.h>
#include <once/HomeSettings.h>
#include <once/RecordCounts.h>

namespace once::details {

using HomeCommands = std::vector<HomeCommand>;

/** Event handlers of a Home, one for each event. */
class HomeCore
{
public:
    HomeCore(Incarnation self, const HomeSettings &settings, std::string_view secret);

    /** Advances to the given time; an earlier time is ignored. */
    void advance(base::Millis now);

    Key issueKey(std::string customer, std::string service);
    RecordCounts counts() const;
    const Incarnation &self() const { return self_; }
    base::Millis nextWakeUp() const { return timers_.next(); }

    void on(const Request &event, HomeCommands &out);
    void on(const CallerDisconnected &event, HomeCommands &out);
    void on(const Withdrawn &event, HomeCommands &out);
    void on(const Chosen &event, HomeCommands &out);
    void on(const NotChosen &event, HomeCommands &out);
    void on(const ExecutorReplied &event, HomeCommands &out);
    void on(const SendFailed &event, HomeCommands &out);
    void on(const ExecutorReplaced &event, HomeCommands &out);
    void on(const ContextEnded &event, HomeCommands &out);
    void on(const WakeUp &event, HomeCommands &out);

    /** Avoids wake-ups for deadlines of requests that have been answered. */
    void dropStaleTimers();

private:
    bool isGenuine(const Key &key) const;
    void join(RecordId id, HomeRecord &record, const Request &request, HomeCommands &out);
    void burn(RecordId id, HomeRecord &record, const NotRun &notRun, HomeCommands &out);
    void resolve(RecordId id, HomeRecord &record, Reason reason, HomeCommands &out);
    void finish(RecordId id, HomeRecord &record, const AnswerPtr &answer, HomeCommands &out);
    void chooseNextExecutor(RecordId id, HomeRecord &record, const NotRun &notRun, bool wasSent,
                            HomeCommands &out);
    void scheduleQuery(RecordId id, Running &running);
    void concludeRecord(RecordId id, const HomeRecord &record, HomeCommands &out);
    void recall(const HomeRecord &record, HomeCommands &out);
    void replyAll(HomeRecord &record, const Outcome &outcome, HomeCommands &out);
    void replyOverdue(HomeRecord &record, HomeCommands &out);
    void handleTimer(RecordId id, HomeCommands &out);
    std::pair<RecordId, HomeRecord *> findRunning(const SubKey &subKey);

    Incarnation self_;
    HomeSettings settings_;
    base::Mac mac_;
    HomeTable table_;
    TimerQueue timers_;
    std::unordered_map<WaiterId, RecordId> waiters_;
    std::map<std::uint64_t, RecordId> outstanding_; ///< by sub-key number
    std::uint64_t nextNumber_ = 1;
    base::Millis now_; ///< latest time passed to advance()
};

} // namespace once::details

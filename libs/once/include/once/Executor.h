#pragma once

#include <memory>
#include <vector>

#include <base/Millis.h>
#include <once/ExecutorCommand.h>
#include <once/ExecutorEvent.h>
#include <once/ExecutorSettings.h>
#include <once/Incarnation.h>
#include <once/RecordCounts.h>

namespace once {

/**
 * Runs delegated requests on the local backend server, each sub-key at most once.
 *
 * Retains sub-keys so that a home can repeat its query. An evicted sub-key is never run: a home
 * numbers its sub-keys in order of delegation, and numbers at or below an evicted one are refused.
 * No I/O; not thread-safe.
 */
class Executor
{
public:
    Executor(Incarnation self, const ExecutorSettings &settings);
    ~Executor();
    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    /** Processes an event and returns the commands to execute, in order. */
    std::vector<ExecutorCommand> handle(const ExecutorEvent &event, base::Millis now);

    /** Current resource usage. */
    RecordCounts counts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace once

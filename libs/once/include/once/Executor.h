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
 * Runs what homes delegate to the backend server beside it: each sub-key at most once.
 *
 * Remembers sub-keys so that a home can ask again. What it has forgotten it never runs: sub-keys
 * of a home are numbered in the order of their delegation, and numbers at or below a forgotten one
 * are refused. No I/O; not thread-safe.
 */
class Executor
{
public:
    Executor(Incarnation self, const ExecutorSettings &settings);
    ~Executor();
    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    /** Takes an event and returns what is to be done, in order. */
    std::vector<ExecutorCommand> handle(const ExecutorEvent &event, base::Millis now);

    /** How much is kept. */
    RecordCounts counts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace once

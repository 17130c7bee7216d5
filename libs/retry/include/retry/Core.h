#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include <base/Millis.h>
#include <retry/Command.h>
#include <retry/Event.h>
#include <retry/RetrySettings.h>

namespace retry {

class ContextTable;

/**
 * Decides whether a call gets another attempt, and what share of the chain's budget it carries.
 *
 * No I/O; not thread-safe. The context table must outlive it.
 */
class Core
{
public:
    Core(const RetrySettings &settings, ContextTable &contexts, std::uint64_t seed);
    ~Core();
    Core(const Core &) = delete;
    Core &operator=(const Core &) = delete;

    /** Handles an event and returns the commands to execute. */
    std::vector<Command> handle(const Event &event, base::Millis now);

    /** Number of calls in progress. */
    std::size_t calls() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace retry

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include <admission/Command.h>
#include <admission/Event.h>
#include <admission/Level.h>
#include <admission/Options.h>
#include <base/Millis.h>

namespace admission {

/**
 * Decides which requests one backend server instance runs, queues or refuses.
 *
 * Every Arrived leads to exactly one Start or Refuse, unless the request is cancelled before.
 * Better ranks always go first; customers of one rank share capacity by weight. No I/O, clock or
 * thread: `now` must not decrease between calls.
 */
class Core
{
public:
    explicit Core(const Options &options = {});
    ~Core();
    Core(Core &&) noexcept;
    Core &operator=(Core &&) noexcept;

    /** Handles one event and returns the commands to execute, in order. */
    std::vector<Command> handle(const Event &event, base::Millis now);

    /** Worst priority currently admitted. */
    Level level() const;

    /** Level for one customer; the whole boundary rank unless its requests were shed recently. */
    Level level(std::string_view customer) const;

    /** Current concurrency limit; at most the slots of the backend server. */
    std::uint32_t limit() const;

    std::size_t running() const;
    std::size_t queued() const;
    std::size_t queued(int rank) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace admission

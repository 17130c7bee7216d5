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
 * Every Arrived is answered by exactly one Start or Refuse, unless it is cancelled before. Better
 * ranks always go first; customers of one rank share by weight. No I/O, clock or thread: `now`
 * must not go back from call to call.
 */
class Core
{
public:
    explicit Core(const Options &options = {});
    ~Core();
    Core(Core &&) noexcept;
    Core &operator=(Core &&) noexcept;

    /** Takes in one event and returns what to do, in order. */
    std::vector<Command> handle(const Event &event, base::Millis now);

    /** Worst priority that is admitted now. */
    Level level() const;

    /** The level for one customer: without refusals of its own the whole boundary rank. */
    Level level(std::string_view customer) const;

    /** Requests that may run at once; at most the slots of the backend server. */
    std::uint32_t limit() const;

    std::size_t running() const;
    std::size_t queued() const;
    std::size_t queued(int rank) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace admission

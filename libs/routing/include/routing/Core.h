#pragma once

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <admission/Level.h>
#include <admission/Priority.h>
#include <base/Millis.h>
#include <routing/Choice.h>
#include <routing/Event.h>
#include <routing/InstanceStatus.h>
#include <routing/Options.h>
#include <tl/expected.hpp>

namespace routing {

/**
 * Decides which backend server instance a call goes to.
 *
 * Every Sent must be followed by one Answered or Failed. No I/O, clock or thread; the same seed and
 * events give the same choices.
 */
class Core
{
public:
    explicit Core(const Options &options);
    ~Core();
    Core(Core &&) noexcept;
    Core &operator=(Core &&) noexcept;

    /** Takes in one event. */
    void handle(const Event &event, base::Millis now);

    /**
     * Picks an instance of the service. The instances excluded were tried before for this call.
     * Takes time in the size of the subset, whatever the number of members.
     */
    tl::expected<Choice, NoChoice> choose(std::string_view service,
                                          const admission::Priority &priority,
                                          std::span<const std::string> excluded, base::Millis now);

    /** Worst priority that some instance of the service admits; all() when nothing is known. */
    admission::Level level(std::string_view service, base::Millis now) const;

    /** Calls sent to the instance and not answered yet. */
    std::size_t inFlight(std::string_view instance) const;

    /** The instances of the service that this daemon sends to. */
    std::vector<InstanceStatus> instances(std::string_view service, base::Millis now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace routing

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
#include <routing/LoadCounters.h>
#include <routing/Options.h>
#include <tl/expected.hpp>

namespace routing {

/**
 * Selects the backend server instance for each call.
 *
 * Every sent call must be followed by exactly one answer or failure event. Does no I/O, reads no
 * clock and starts no thread; the same seed and events give the same choices.
 */
class Core
{
public:
    explicit Core(const Options &options);
    ~Core();
    Core(Core &&) noexcept;
    Core &operator=(Core &&) noexcept;

    /** Applies one event to the state. */
    void handle(const Event &event, base::Millis now);

    /**
     * Selects an instance of the service. excluded: instances already tried for this call.
     * Run time is linear in the size of the subset and independent of the number of members.
     */
    tl::expected<Choice, NoChoice> choose(std::string_view service,
                                          const admission::Priority &priority,
                                          std::span<const std::string> excluded, base::Millis now);

    /** Lowest priority that any instance of the service admits; all() if none is available. */
    admission::Level level(std::string_view service, base::Millis now) const;

    /** Number of calls sent to the instance that are not answered yet. */
    std::size_t inFlight(std::string_view instance) const;

    /** Counts of the selection by reported load; all 0 unless it is in use. */
    const LoadCounters &loadCounters() const;

    /** Ids of the services with instances. */
    std::vector<std::string> services() const;

    /** The instances of the service in the subset of this daemon. */
    std::vector<InstanceStatus> instances(std::string_view service, base::Millis now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace routing

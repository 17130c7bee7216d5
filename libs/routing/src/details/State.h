#pragma once

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <base/Millis.h>
#include <base/Random.h>
#include <details/Instance.h>
#include <details/Pool.h>
#include <routing/Choice.h>
#include <routing/Event.h>
#include <routing/LoadCounters.h>
#include <routing/Options.h>

namespace routing::details {

/** State of routing::Core: all instances, and a pool for each service. */
class State
{
public:
    explicit State(const Options &options);

    void on(const MembersChanged &event, base::Millis now);
    void on(const CallSent &event, base::Millis now);
    void on(const CallAnswered &event, base::Millis now);
    void on(const CallFailed &event, base::Millis now);
    void on(const InstanceReported &event, base::Millis now);

    tl::expected<Choice, NoChoice> choose(std::string_view service,
                                          const admission::Priority &priority,
                                          std::span<const std::string> excluded, base::Millis now);

    /** The pool of a service, or null. */
    const Pool *pool(std::string_view service) const;

    const LoadCounters &loadCounters() const { return loadCounters_; }
    std::vector<std::string> services() const;

    /** An instance by its id, or null. */
    Instance *instance(std::string_view id) const;

private:
    struct TrackedInstance
    {
        std::shared_ptr<Instance> instance_;
        std::uint64_t lastVersion_ = 0; ///< last membership version that listed it
    };

    /** Adds or updates the instance of a member; returns whether the pools must be rebuilt. */
    bool updateInstance(const model::Member &member, base::Millis now);

    void countChoice(const Choice &choice, base::Millis now);
    void countWait(const Instance &instance, const CallAnswered &event);
    bool eraseAbsent();
    void rebuildPools();

    Options options_;
    base::Random random_;
    std::optional<base::Millis> firstEventAt_;
    std::uint64_t membershipVersion_ = 0; ///< number of MembersChanged events
    std::map<std::string, TrackedInstance, std::less<>> instances_;
    std::map<std::string, Pool, std::less<>> pools_;
    LoadCounters loadCounters_;
};

} // namespace routing::details

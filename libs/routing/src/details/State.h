#pragma once

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <base/Millis.h>
#include <base/Random.h>
#include <details/Instance.h>
#include <details/Pool.h>
#include <routing/Choice.h>
#include <routing/Event.h>
#include <routing/Options.h>

namespace routing::details {

/** State behind routing::Core: every instance known, and a pool for each service. */
class State
{
public:
    explicit State(const Options &options);

    void on(const MembersChanged &event, base::Millis now);
    void on(const Sent &event, base::Millis now);
    void on(const Answered &event, base::Millis now);
    void on(const Failed &event, base::Millis now);
    void on(const Reported &event, base::Millis now);

    tl::expected<Choice, NoChoice> choose(std::string_view service,
                                          const admission::Priority &priority,
                                          std::span<const std::string> excluded, base::Millis now);

    /** The pool of a service, or null. */
    const Pool *pool(std::string_view service) const;

    /** An instance by its id, or null. */
    Instance *instance(std::string_view id) const;

private:
    struct Known
    {
        std::shared_ptr<Instance> instance_;
        std::uint64_t lastUpdate_ = 0; ///< in which it was a member
    };

    /** Returns whether the pools must be built again. */
    bool learn(const model::Member &member, base::Millis now);

    bool forgetAbsent();
    void rebuildPools();

    Options options_;
    base::Random random_;
    std::optional<base::Millis> firstEventAt_;
    std::uint64_t update_ = 0; ///< counts MembersChanged
    std::map<std::string, Known, std::less<>> instances_;
    std::map<std::string, Pool, std::less<>> pools_;
};

} // namespace routing::details

#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

namespace metrics {

/**
 * Bounded set of label values: configured names always have a label of their own, other names only
 * until a limit is reached. Callers choose the names, so the set must not grow without bound.
 */
class LabelSet
{
public:
    explicit LabelSet(std::size_t maxUnconfigured);

    /** Sets the names that always have their own label. */
    void configure(std::set<std::string, std::less<>> names);

    /**
     * Label for a name: "none" for an empty name; "other" for a name that is not configured and is
     * beyond the limit, longer than maxNameBytes or not printable ASCII. */
    std::string_view labelFor(std::string_view name);

    /** Whether the name is one of those that were configured. */
    bool isConfigured(std::string_view name) const { return configured_.contains(name); }

    bool hasConfiguredNames() const { return !configured_.empty(); }

    std::size_t size() const { return configured_.size() + unconfigured_.size(); }

    static constexpr std::size_t maxNameBytes = 64;

private:
    std::size_t maxUnconfigured_;
    std::set<std::string, std::less<>> configured_;
    std::set<std::string, std::less<>> unconfigured_;
};

} // namespace metrics

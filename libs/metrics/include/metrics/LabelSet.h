#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

namespace metrics {

/**
 * Bounded set of label values: configured names always have their own, other names only until the
 * limit is reached. Callers choose names, so that the set must not grow with them.
 */
class LabelSet
{
public:
    explicit LabelSet(std::size_t limitOfOthers);

    /** Names that always have their own label. */
    void configure(std::set<std::string, std::less<>> names);

    /**
     * Label for a name; "none" for an empty one, "other" beyond the limit, if it is longer than
     * longestName or has bytes other than printable ASCII. */
    std::string_view labelFor(std::string_view name);

    std::size_t size() const { return configured_.size() + others_.size(); }

    static constexpr std::size_t longestName = 64;

private:
    std::size_t limitOfOthers_;
    std::set<std::string, std::less<>> configured_;
    std::set<std::string, std::less<>> others_;
};

} // namespace metrics

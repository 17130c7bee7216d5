#pragma once

#include <cstdint>
#include <string>

namespace configcheck {

/** A difference between two configurations: of a whole entry, or of one of its fields. */
struct Difference
{
    enum class Kind : std::uint8_t { Added, Changed, Withdrawn };

    Kind kind_ = Kind::Changed;
    std::string entry_;  ///< such as `customer "school-1"`
    std::string field_;  ///< empty for a whole entry
    std::string before_; ///< value of a field; empty for a whole entry or where there was none
    std::string after_;
    bool mayRefuseCallers_ = false; ///< callers that are served now may be refused or fail

    auto operator<=>(const Difference &) const = default;
};

} // namespace configcheck

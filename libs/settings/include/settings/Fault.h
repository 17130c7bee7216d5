#pragma once

#include <string>

namespace settings {

/** One error in a settings file. */
struct Fault
{
    std::string file_;
    int line_ = 0; ///< from 1; 0 for an error without a position, such as a missing field
    std::string field_;
    std::string problem_;

    /** One line: "file:line: field: problem". */
    std::string text() const;

    bool operator==(const Fault &) const = default;
};

} // namespace settings

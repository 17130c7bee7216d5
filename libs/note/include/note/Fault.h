#pragma once

#include <string>

namespace note {

/** One thing wrong with a release note's text. */
struct Fault
{
    std::string file_;
    int line_ = 0;      ///< counted from 1; 0 when it concerns the whole file
    std::string field_; ///< such as "added.classes[1].deadline"
    std::string message_;

    /** One line: "file:line: field: message". */
    std::string text() const;

    bool operator==(const Fault &) const = default;
};

} // namespace note

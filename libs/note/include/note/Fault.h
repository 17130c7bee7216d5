#pragma once

#include <string>

namespace note {

/** An error in the text of a release note. */
struct Fault
{
    std::string file_;
    int line_ = 0;      ///< from 1; 0 if the fault concerns the whole file
    std::string field_; ///< such as "added.classes[1].deadline"
    std::string message_;

    /** One line of text: "file:line: field: message". */
    std::string text() const;

    bool operator==(const Fault &) const = default;
};

} // namespace note

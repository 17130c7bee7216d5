#pragma once

#include <string>
#include <string_view>

#include <admission/Level.h>

namespace admission {

/** The levels that ride on an answer, as one header field "own customer further". */
struct AnswerLevels
{
    Level own_;      ///< of the instance, for all customers; for routing
    Level customer_; ///< of the instance for the customer of the request
    Level further_;  ///< of the services that requests of this class and customer call in turn

    /** Numbers in decimal with one blank between. */
    std::string text() const;

    /** Inverse of text(); what is missing or no number counts as Level::all(). */
    static AnswerLevels parse(std::string_view text);

    bool operator==(const AnswerLevels &) const = default;
};

} // namespace admission

#pragma once

#include <string>
#include <string_view>

#include <admission/Level.h>

namespace admission {

/** Admission levels carried by an answer, as one header field with the numbers in this order. */
struct AnswerLevels
{
    Level instance_;   ///< of the instance for all customers; used for routing
    Level customer_;   ///< of the instance for the customer of the request
    Level downstream_; ///< of the services called by requests of this class and customer

    /**
     * Worst priority whose calls are repeated as often as needed when backend servers refuse them;
     * of the instance and the services below for a call, of the services below for a root request.
     */
    Level repeats_;

    /** Decimal numbers separated by single spaces; without repeats_ if it is Level::all(). */
    std::string toString() const;

    /** Inverse of toString(); missing and malformed numbers are read as Level::all(). */
    static AnswerLevels parse(std::string_view text);

    bool operator==(const AnswerLevels &) const = default;
};

} // namespace admission

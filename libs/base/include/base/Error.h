#pragma once

#include <string>

#include <tl/expected.hpp>

namespace base {

/** Error value: a stable code for programs and a one-line message for people. */
struct Error
{
    std::string code_;    ///< lower-case words joined by '-', such as "bad-field"
    std::string message_; ///< one line; names the file, line and field if applicable

    bool operator==(const Error &) const = default;
};

/** Either a value of type T or an Error. */
template<typename T>
using Result = tl::expected<T, Error>;

/** Creates the error alternative of a Result. */
inline tl::unexpected<Error> fail(std::string code, std::string message)
{
    return tl::unexpected<Error>(Error{std::move(code), std::move(message)});
}

} // namespace base

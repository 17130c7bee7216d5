#pragma once

#include <variant>

#include <base/Millis.h>
#include <once/Answer.h>
#include <once/Reason.h>

namespace once {

/** Complete answer of the backend server. */
struct Complete
{
    AnswerPtr answer_;

    bool operator==(const Complete &) const = default;
};

/** No backend server has run the request or will ever run it under this key. */
struct NotRun
{
    Reason reason_ = Reason::None;
    base::Millis retryAfter_;

    bool operator==(const NotRun &) const = default;
};

/** The request may have run and is not run again. */
struct Unknown
{
    Reason reason_ = Reason::None;

    bool operator==(const Unknown &) const = default;
};

/** Outcome of a request as reported to its caller. */
using Outcome = std::variant<Complete, NotRun, Unknown>;

} // namespace once

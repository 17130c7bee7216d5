#pragma once

#include <variant>

#include <base/Millis.h>
#include <once/Answer.h>
#include <once/Reason.h>

namespace once {

/** The backend server's whole answer. */
struct Complete
{
    AnswerPtr answer_;

    bool operator==(const Complete &) const = default;
};

/** No backend server has run the request, nor ever will under this key. */
struct NotRun
{
    Reason reason_ = Reason::None;
    base::Millis retryAfter_;

    bool operator==(const NotRun &) const = default;
};

/** The request may have run; it is not run again. */
struct Unknown
{
    Reason reason_ = Reason::None;

    bool operator==(const Unknown &) const = default;
};

/** What a caller is told of its request. */
using Outcome = std::variant<Complete, NotRun, Unknown>;

} // namespace once

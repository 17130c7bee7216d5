#pragma once

#include <variant>

#include <base/Millis.h>
#include <once/HomeCommand.h>
#include <once/SubKey.h>

namespace once {

/** Hand the request to admission; then say Admitted or Refused. */
struct Admit
{
    SubKey subKey_;
    base::Millis startBy_; ///< on the executor's clock

    bool operator==(const Admit &) const = default;
};

/** Send the request to the backend server, exactly once. */
struct SendToBackend
{
    SubKey subKey_;
    base::Millis timeLeft_; ///< deadline handed to the backend server

    bool operator==(const SendToBackend &) const = default;
};

/** Do not send the request; give back what admission granted. */
struct Abandon
{
    SubKey subKey_;

    bool operator==(const Abandon &) const = default;
};

/** The address is served by this process, which is not the one meant. */
struct ReplyReplaced
{
    WaiterId waiter_ = 0;

    bool operator==(const ReplyReplaced &) const = default;
};

/** What an Executor wants done. */
using ExecutorCommand = std::variant<Reply, Admit, SendToBackend, Abandon, ReplyReplaced>;

} // namespace once

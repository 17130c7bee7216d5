#pragma once

#include <variant>

#include <base/Millis.h>
#include <once/HomeCommand.h>
#include <once/SubKey.h>

namespace once {

/** Submit the request to admission; answered by Admitted or Refused. */
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
    base::Millis timeLeft_; ///< deadline passed to the backend server

    bool operator==(const SendToBackend &) const = default;
};

/** Do not send the request; release its admission slot. */
struct Abandon
{
    SubKey subKey_;

    bool operator==(const Abandon &) const = default;
};

/** Reply that this process is not the executor of the sub-key, although it has its address. */
struct ReplyReplaced
{
    WaiterId waiter_ = 0;

    bool operator==(const ReplyReplaced &) const = default;
};

/** Command of an Executor to its owner. */
using ExecutorCommand = std::variant<Reply, Admit, SendToBackend, Abandon, ReplyReplaced>;

} // namespace once

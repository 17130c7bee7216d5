#pragma once

#include <base/Millis.h>
#include <bench/FinishedRequest.h>
#include <net/CallResult.h>
#include <net/HttpRequest.h>

namespace bench {

/** What a caller knows when an answer arrives. */
struct AnswerContext
{
    base::Millis waited_; ///< since the request arrived
    base::Millis deadline_;
    bool isDirect_ = false; ///< from a backend server, which states no outcome
};

/** How the attempt ended for its caller. */
RequestOutcome judgeAnswer(const net::HttpRequest &request, const net::CallResult &result,
                           const AnswerContext &context);

} // namespace bench

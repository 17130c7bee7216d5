#pragma once

#include <base/Millis.h>
#include <bench/FinishedRequest.h>
#include <net/CallResult.h>
#include <net/HttpRequest.h>

namespace bench {

/** Caller-side data for the classification of an answer. */
struct AnswerContext
{
    base::Millis elapsed_; ///< since the arrival of the request
    base::Millis deadline_;
    bool isFromBackend_ = false; ///< from a backend server, which may send no outcome header
};

/** Classifies the result of an attempt from the point of view of its caller. */
RequestOutcome classifyAnswer(const net::HttpRequest &request, const net::CallResult &result,
                              const AnswerContext &context);

} // namespace bench

#pragma once

#include <base/Error.h>
#include <dock/Attempt.h>
#include <dock/AttemptAnswer.h>
#include <net/HttpRequest.h>
#include <net/HttpResponse.h>

namespace dock {

/** The HTTP/2 request that carries an attempt. */
net::HttpRequest encodeAttempt(Attempt attempt);

/** Reads an attempt; fails with "bad-attempt" and the field at fault. */
base::Result<Attempt> decodeAttempt(net::HttpRequest request);

/** The HTTP/2 answer that carries the outcome of an attempt. */
net::HttpResponse encodeAnswer(const AttemptAnswer &answer);

/** Reads the outcome of an attempt; fails with "bad-answer". */
base::Result<AttemptAnswer> decodeAnswer(net::HttpResponse response);

/** Whether a header field ends at each hop (RFC 9110, section 7.6.1). */
bool isHopByHop(std::string_view name);

/** Whole non-negative number, or the given value when the text is none. */
std::uint64_t numberOr(std::string_view text, std::uint64_t otherwise);

} // namespace dock

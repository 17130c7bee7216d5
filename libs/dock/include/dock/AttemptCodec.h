#pragma once

#include <base/Error.h>
#include <dock/Attempt.h>
#include <dock/AttemptAnswer.h>
#include <net/HttpRequest.h>
#include <net/HttpResponse.h>

namespace dock {

/** Encodes an attempt as an HTTP/2 request. */
net::HttpRequest encodeAttempt(Attempt attempt);

/** Decodes an attempt; fails with "bad-attempt" and the name of the invalid field. */
base::Result<Attempt> decodeAttempt(net::HttpRequest request);

/** Encodes the answer to an attempt as an HTTP/2 response. */
net::HttpResponse encodeAnswer(const AttemptAnswer &answer);

/** Decodes the answer to an attempt; fails with "bad-answer". */
base::Result<AttemptAnswer> decodeAnswer(net::HttpResponse response);

/** Whether a header field is hop-by-hop (RFC 9110, section 7.6.1). */
bool isHopByHop(std::string_view name);

/** Parses a non-negative integer; returns fallback if the text is not one. */
std::uint64_t numberOr(std::string_view text, std::uint64_t fallback);

} // namespace dock
